// Package harness2 starts the project's own programs as a small deployment on loopback addresses, for the cases of the
// second review: entries with the commands of the deploy file, stand-in servers that announce themselves, and an operator.
package harness2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines, as on the platform; each machine has a loopback address of its own.
const (
	PortFront   = 18149
	PortReady   = 18141
	PortControl = 18144
	PortServer  = 18080
	portPeers   = 17380
	portLock    = 18099
	firstNet    = 110
	lastNet     = 160
)

// Fleet is a deployment.
type Fleet struct {
	Binary   string
	Folder   string
	Settings map[string]any
	Entries  []*Process
	record   *os.File
	lock     net.Listener
	network  int
	began    time.Time

	mu      sync.Mutex
	servers []*Server
}

// Process is an entry or an agent.
type Process struct {
	IP, Role string
	fleet    *Fleet
	disk     bool
	settings map[string]any
	cmd      *exec.Cmd
	exited   chan struct{}
	log      *os.File
}

// New returns a deployment without processes. Its record goes to record.txt in a folder.
func New(caseFolder, binary string) (*Fleet, error) {
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Binary: binary, Folder: folder, record: record, began: time.Now(), Settings: make(map[string]any)}
	for network := firstNet; network <= lastNet; network++ {
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.254:%d", network, portLock))
		if err == nil {
			f.lock, f.network = lock, network
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free loopback network")
}

// Record writes a line with the time since the start.
func (f *Fleet) Record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%9.3f %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// Address returns the address of a machine: kind 0 are entries, 1 servers.
func (f *Fleet) Address(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.network, kind, number+1)
}

// StartEntries starts entries at once, the first ones with a disk, as at the first start of a deployment.
func (f *Fleet) StartEntries(withDisk, without int) error {
	for i := range withDisk + without {
		f.Entries = append(f.Entries, &Process{IP: f.Address(0, i), Role: "entry", fleet: f, disk: i < withDisk})
	}
	for _, p := range f.Entries {
		if err := p.Start(true); err != nil {
			return err
		}
	}
	return nil
}

// StartAgent starts an agent beside the engine at a server's machine.
func (f *Fleet) StartAgent(s *Server, bootstrap bool) (*Process, error) {
	p := &Process{IP: s.IP, Role: "agent", fleet: f, settings: map[string]any{
		"engine": s.Address(), "service": s.Service, "callerListen": "", "readyListen": "", "controlListen": "",
	}}
	return p, p.Start(bootstrap)
}

// Start starts the process with settings as deploy/settings.jsonc.template fills them.
func (p *Process) Start(bootstrap bool) error {
	f := p.fleet
	var seeds []string
	for i := range min(3, len(f.Entries)) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.Entries[i].IP, PortControl))
	}
	values := map[string]any{
		"instance": "at-" + p.IP, "dataCentre": "z", "ip": p.IP, "statusListen": "", "peerPorts": []int{portPeers, portPeers + 15},
		"callerListen": fmt.Sprintf("%s:%d", p.IP, PortFront), "readyListen": fmt.Sprintf("%s:%d", p.IP, PortReady), "controlListen": fmt.Sprintf("%s:%d", p.IP, PortControl),
		"seeds": seeds, "bootstrap": bootstrap, "dataFolder": "", "memoryMB": 284, "maxDescriptors": 4100, "lossesBorne": 1, "stopSeconds": 8, "drainMillis": 2000,
		"repeatRatio": 0.2, "repeatSlack": 60, "repeatWindowSeconds": 10, "versionMillis": 5000, "heartbeatMillis": 1200, "engine": "", "service": "",
	}
	for name, value := range f.Settings {
		values[name] = value
	}
	for name, value := range p.settings {
		values[name] = value
	}
	if p.disk {
		values["dataFolder"] = filepath.Join(f.Folder, "disk-"+p.IP)
	}
	data, err := json.Marshal(values)
	if err != nil {
		return err
	}
	path := filepath.Join(f.Folder, "settings-"+p.Role+"-"+p.IP)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	if p.log, err = os.OpenFile(filepath.Join(f.Folder, "log-"+p.Role+"-"+p.IP), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	p.cmd = exec.Command(f.Binary, "platform", p.Role)
	p.cmd.Env = append(os.Environ(), "ROSEMARYPASS_SETTINGS="+path)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	f.Record("start %s %s", p.Role, p.IP)
	return nil
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) {
	p.fleet.Record("signal %v to %s %s", s, p.Role, p.IP)
	_ = p.cmd.Process.Signal(s)
}

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// AwaitExit waits until the process has ended.
func (p *Process) AwaitExit() { <-p.exited }

// Close ends all processes and removes the temporary folder.
func (f *Fleet) Close(others ...*Process) {
	for _, p := range append(append([]*Process{}, f.Entries...), others...) {
		if p.cmd != nil && !p.Exited() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			p.AwaitExit()
		}
	}
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.Folder)
	}
	_ = f.lock.Close()
	_ = f.record.Close()
}

// client gives up after a second, as the platform's callers of control do.
var client = &http.Client{Timeout: time.Second}

// Put sends a configuration or another order to entries in turn until one acknowledges it. It returns false if none did in time.
func (f *Fleet) Put(path string, body []byte, within time.Duration) bool {
	until := time.Now().Add(within)
	for i := 0; time.Now().Before(until); i++ {
		entry := f.Entries[i%len(f.Entries)]
		status, _ := f.Control(entry, http.MethodPost, path, body)
		f.Record("operator POST %s (%d bytes) to %s: %d", path, len(body), entry.IP, status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// Control makes one call of an entry's control interface; the status is 0 without an answer.
func (f *Fleet) Control(entry *Process, method, path string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", entry.IP, PortControl, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// Request sends a client's request to an entry and returns the status of its whole answer, 0 if there is none.
func (f *Fleet) Request(by *http.Client, entry *Process, method, path, host string, header map[string]string, body string) int {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", entry.IP, PortFront, path), strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = host
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := by.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// AwaitReady waits until all entries say that they are ready.
func (f *Fleet) AwaitReady(within time.Duration) bool {
	until := time.Now().Add(within)
	for _, p := range f.Entries {
		for {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", p.IP, PortReady))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}

// Routes returns a configuration; each route is a JSON object, and so is each service.
func Routes(version int, routes, services []string, extra string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[%s],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}%s}`,
		version, strings.Join(routes, ","), strings.Join(services, ","), extra)
}
