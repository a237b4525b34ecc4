// Package harness starts the project's own programs as processes on loopback addresses, with small stand-ins of
// the users' platform beside them, for the cases of the review.
package harness

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines of a deployment. Each machine has a loopback address of its own.
const (
	portFront   = 18149
	portReady   = 18141
	portControl = 18144
	portPeers   = 17380
	portServer  = 18080
	portStatus  = 9464
)

// Bounds of the deployment, as on the sheet of dabke-book.
const (
	Contact = 3 * time.Second
	Drain   = 2 * time.Second
	Version = 5 * time.Second
	// Heartbeat is heartbeat-ms.
	Heartbeat = 1200 * time.Millisecond
	// RestartDelay is the short delay after which the platform restarts a process that was killed.
	RestartDelay = 500 * time.Millisecond
)

// Fleet is a small deployment.
type Fleet struct {
	Record *Record
	Start  time.Time
	folder string
	net    string
	mu     sync.Mutex
	all    []*Process
}

// Process is an entry or an agent.
type Process struct {
	Name    string
	IP      string
	fleet   *Fleet
	role    string
	fields  map[string]any
	cmd     *exec.Cmd
	exited  chan struct{}
	started time.Time
}

// NewFleet returns a deployment without processes. A network of loopback addresses that nothing uses is chosen.
func NewFleet(record *Record) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: record, Start: time.Now(), folder: folder}
	for range 100 {
		f.net = fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), rand.IntN(250))
		if f.isFree() {
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free network of loopback addresses")
}

func (f *Fleet) isFree() bool {
	for last := 1; last < 20; last++ {
		for _, port := range []int{portFront, portReady, portControl, portPeers, portPeers + 1, portServer, portStatus} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", f.net, last, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// IP returns the address of a machine.
func (f *Fleet) IP(machine int) string { return fmt.Sprintf("%s.%d", f.net, machine) }

// settings returns the fields that the platform fills the template from.
func (f *Fleet) settings(name, class, ip string, seeds []string) map[string]any {
	return map[string]any{
		"node": name, "zone": "z1", "ip": ip, "seeds": seeds, "bootstrap": true, "port-range": []int{portPeers, portPeers + 15},
		"machine-class": class, "heartbeat-ms": Heartbeat.Milliseconds(),
		"limits":          map[string]any{"memory-mb": 284},
		"fault-tolerance": map[string]any{"machines": 1},
		"bounds": map[string]any{
			"grace-s": 8, "drain-ms": Drain.Milliseconds(), "budget-ratio": 0.2, "budget-slack": 60, "budget-window-s": 10, "version_ms": Version.Milliseconds(),
		},
	}
}

// AddEntries adds front machines 1 to n, each with a disk.
func (f *Fleet) AddEntries(n int) []*Process {
	var seeds []string
	for i := 1; i <= min(n, 3); i++ {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.IP(i), portControl))
	}
	var entries []*Process
	for i := 1; i <= n; i++ {
		name := fmt.Sprintf("front-%d", i)
		fields := f.settings(name, "front", f.IP(i), seeds)
		data := filepath.Join(f.folder, name)
		if err := os.MkdirAll(data, 0o700); err != nil {
			panic(err)
		}
		fields["data-dir"] = data
		fields["listen-addrs"] = map[string]any{
			"front": fmt.Sprintf("%s:%d", f.IP(i), portFront), "ready": fmt.Sprintf("%s:%d", f.IP(i), portReady), "control": fmt.Sprintf("%s:%d", f.IP(i), portControl),
		}
		entries = append(entries, &Process{Name: name, IP: f.IP(i), fleet: f, role: "entry", fields: fields})
	}
	f.all = append(f.all, entries...)
	return entries
}

// AddAgent adds the agent beside the engine on a machine.
func (f *Fleet) AddAgent(machine int, service string, entries []*Process) *Process {
	var seeds []string
	for _, e := range entries[:min(len(entries), 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", e.IP, portControl))
	}
	name := fmt.Sprintf("side-%d", machine)
	fields := f.settings(name, "side", f.IP(machine), seeds)
	fields["app"], fields["service"], fields["listen-addrs"] = f.ServerAddress(machine), service, map[string]any{}
	p := &Process{Name: name, IP: f.IP(machine), fleet: f, role: "agent", fields: fields}
	f.all = append(f.all, p)
	return p
}

// ServerAddress returns the address of the server on a machine.
func (f *Fleet) ServerAddress(machine int) string {
	return fmt.Sprintf("%s:%d", f.IP(machine), portServer)
}

// Front returns the address for clients, Control that for servers and operators.
func (p *Process) Front() string   { return fmt.Sprintf("%s:%d", p.IP, portFront) }
func (p *Process) Control() string { return fmt.Sprintf("%s:%d", p.IP, portControl) }

// Ready is the address that the platform asks whether the entry is ready.
func (p *Process) Ready() string { return fmt.Sprintf("%s:%d", p.IP, portReady) }

var placeholder = regexp.MustCompile(`\{\{([a-z0-9_.-]+)(\|json)?\}\}`)

// fill fills the template of the deploy file as the platform does.
func fill(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		parts := placeholder.FindStringSubmatch(text)
		var value any = fields
		for name := range strings.SplitSeq(parts[1], ".") {
			table, ok := value.(map[string]any)
			if value = nil; ok {
				value = table[name]
			}
		}
		if parts[2] == "" {
			if value == nil {
				return ""
			}
			return fmt.Sprint(value)
		}
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		return string(data)
	})
}

// Run starts the process with the command of the deploy file.
func (p *Process) Run() error {
	template, err := os.ReadFile("deploy/settings.jsonc.template")
	if err != nil {
		return err
	}
	path := filepath.Join(p.fleet.folder, p.Name+".settings")
	if err := os.WriteFile(path, []byte(fill(string(template), p.fields)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.fleet.folder, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/rosemaryd", "platform", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ROSEMARYPASS_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.started = cmd, exited, time.Now()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	p.fleet.Record.Printf("start %s (process %d)", p.Name, cmd.Process.Pid)
	return nil
}

// Started returns when the process was started last.
func (p *Process) Started() time.Time {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.started
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.fleet.Record.Printf("%v to %s", s, p.Name)
	_ = p.cmd.Process.Signal(s)
}

// Restart starts a killed process again, as the platform does after a short delay. It is no longer the first start.
func (p *Process) Restart() error {
	<-p.exited
	time.Sleep(RestartDelay)
	p.fields["bootstrap"] = false
	return p.Run()
}

// Close ends all processes. If keep is set, the folder with their logs stays.
func (f *Fleet) Close(keep bool) {
	for _, p := range f.all {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
	if keep {
		fmt.Println("logs:", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}
