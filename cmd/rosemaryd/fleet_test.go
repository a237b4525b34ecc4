package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/loopback"
	"github.com/rosemarypass/rosemarypass/internal/operator"
	"github.com/rosemarypass/rosemarypass/internal/settings"
)

const (
	fleetOperatorKey = "fleet-operator"
	fleetCallerKey   = "fleet-caller"
	fleetModel       = "base"
)

// process is a running rosemaryd process.
type process struct {
	name   string
	role   string
	status string
	listen string
	cmd    *exec.Cmd
	log    *output
}

// fleet runs rosemaryd as separate processes on loopback: control instances
// with disks, entries, and agents with a stand-in engine each.
type fleet struct {
	tb        testing.TB
	binary    string
	folder    string
	peers     []string
	operators []string
	processes []*process
	// clientAddresses are the operator addresses that client uses.
	clientAddresses []string
	client          *operator.Client
}

// startFleet builds rosemaryd and starts a fleet with one contract and eight
// adapters. It returns once every process is ready and has the configuration.
func startFleet(tb testing.TB, controls, entries, agents int) *fleet {
	tb.Helper()
	f := &fleet{tb: tb, folder: tb.TempDir()}
	f.buildBinary()
	f.peers, f.operators = freePorts(tb, controls), freePorts(tb, controls)
	f.connectClient(f.operators)
	tb.Cleanup(f.killAll)
	for i := range controls {
		f.startControl(i, i == 0)
	}
	f.awaitMembers()
	sample := f.writeSample()
	for i := range agents {
		f.startAgent(i)
	}
	for i := range entries {
		f.startEntry(i)
	}
	for _, p := range f.processes {
		f.awaitReady(p)
	}
	f.awaitServers(agents)
	f.awaitInForce(sample)
	return f
}

// connectClient replaces the client by a new one for the control instances at the
// given operator addresses. A new client has seen no unconfirmed answer.
func (f *fleet) connectClient(addresses []string) {
	f.clientAddresses = addresses
	var urls []string
	for _, address := range addresses {
		urls = append(urls, "http://"+address)
	}
	f.client = operator.NewClient(operator.Options{URLs: urls, Key: fleetOperatorKey})
}

func (f *fleet) buildBinary() {
	f.tb.Helper()
	f.binary = filepath.Join(f.folder, "rosemaryd")
	if out, err := exec.Command("go", "build", "-o", f.binary, ".").CombinedOutput(); err != nil {
		f.tb.Fatalf("build: %v\n%s", err, out)
	}
}

func freePorts(tb testing.TB, n int) []string {
	tb.Helper()
	addresses, err := loopback.Addresses(n)
	if err != nil {
		tb.Fatal(err)
	}
	return addresses
}

func (f *fleet) baseSettings(name string) settings.Settings {
	return settings.Settings{
		Instance:       name,
		DataCentre:     "amman-a",
		ControlPeers:   f.peers,
		PlaintextPeers: true,
		StatusListen:   freePorts(f.tb, 1)[0],
		Telemetry:      settings.Telemetry{Traces: settings.TracesOff},
	}
}

func (f *fleet) startControl(i int, bootstrap bool) *process {
	s := f.baseSettings(fmt.Sprintf("control-%d", i))
	s.Control = &settings.Control{
		PeerListen:        f.peers[i],
		PeerAddress:       f.peers[i],
		OperatorListen:    f.operators[i],
		OperatorKeyHashes: []string{follow.HashKey(fleetOperatorKey)},
		DataFolder:        filepath.Join(f.folder, s.Instance),
		Bootstrap:         bootstrap,
		ServerLease:       settings.Duration(2500 * time.Millisecond),
	}
	return f.serve("control", s, f.operators[i])
}

func (f *fleet) startEntry(i int) {
	s := f.baseSettings(fmt.Sprintf("entry-%d", i))
	s.Entry = &settings.Entry{Listen: freePorts(f.tb, 1)[0]}
	f.serve("entry", s, s.Entry.Listen)
}

func (f *fleet) startAgent(i int) {
	engine := freePorts(f.tb, 1)[0]
	f.start("standin", fmt.Sprintf("engine-%d", i), "standin", "--engine", engine, "--model", fleetModel, "--slots", "8")
	s := f.baseSettings(fmt.Sprintf("agent-%d", i))
	s.Agent = &settings.Agent{
		Listen:    freePorts(f.tb, 1)[0],
		Server:    fmt.Sprintf("dabke-llm-%d", i),
		Pool:      "dabke-llm",
		Engine:    "http://" + engine,
		BaseModel: fleetModel,
		Slots:     8,
	}
	f.serve("agent", s, s.Agent.Listen)
}

func (f *fleet) serve(role string, s settings.Settings, listen string) *process {
	f.tb.Helper()
	path := filepath.Join(f.folder, s.Instance+".jsonc")
	data, err := json.Marshal(s)
	if err != nil {
		f.tb.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		f.tb.Fatal(err)
	}
	p := f.start(role, s.Instance, "serve", "--settings", path)
	p.status, p.listen = s.StatusListen, listen
	return p
}

func (f *fleet) start(role, name string, args ...string) *process {
	f.tb.Helper()
	p := &process{name: name, role: role, cmd: exec.Command(f.binary, args...), log: new(output)}
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		f.tb.Fatal(err)
	}
	f.processes = append(f.processes, p)
	return p
}

func (f *fleet) killAll() {
	for _, p := range f.processes {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
}

func (f *fleet) processesWithRole(role string) []*process {
	var found []*process
	for _, p := range f.processes {
		if p.role == role {
			found = append(found, p)
		}
	}
	return found
}

// await polls until a condition holds. It fails the test once the condition can no longer decide it: when the test
// has failed already, or the run's own timeout is near.
func (f *fleet) await(what string, condition func() bool) {
	f.tb.Helper()
	for !f.tb.Failed() && !f.runEnds() {
		if condition() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, p := range f.processes {
		if text := p.log.String(); text != "" {
			f.tb.Logf("%s:\n%s", p.name, text)
		}
	}
	f.tb.Fatalf("gave up waiting for: %s", what)
}

// reportReserve is the time before the run's timeout that is left for the report of a failure.
const reportReserve = 30 * time.Second

func (f *fleet) runEnds() bool {
	t, ok := f.tb.(*testing.T)
	if !ok {
		return false
	}
	deadline, bounded := t.Deadline()
	return bounded && time.Until(deadline) < reportReserve
}

// output collects what a process writes, and may be read meanwhile.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func (f *fleet) awaitReady(p *process) {
	f.tb.Helper()
	if p.status == "" {
		return
	}
	f.await(p.name+" ready", func() bool {
		response, err := http.Get("http://" + p.status + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func (f *fleet) awaitMembers() {
	f.tb.Helper()
	f.await("a log with all its voters", func() bool {
		members, err := f.client.Members(f.tb.Context())
		if err != nil {
			return false
		}
		if len(members.Members) == len(f.peers) {
			return true
		}
		return false
	})
}

func (f *fleet) awaitServers(n int) {
	f.tb.Helper()
	f.await("all servers announced", func() bool {
		servers, err := f.client.Servers(f.tb.Context())
		if err != nil {
			return false
		}
		announced := 0
		for _, server := range servers {
			if server.Announced != nil {
				announced++
			}
		}
		return announced == n
	})
}

// awaitInForce waits until the change at an index is in force in every daemon. A
// ready entry may lack a change for up to the duration of its freshness lease.
func (f *fleet) awaitInForce(index uint64) {
	f.tb.Helper()
	f.await("the change in force", func() bool {
		report, err := f.client.InForce(f.tb.Context(), index, inForceTimeout)
		return err == nil && report.Done
	})
}

// writeSample writes the fleet's model, adapters and contract and returns the
// index of the last change.
func (f *fleet) writeSample() uint64 {
	f.tb.Helper()
	ctx := f.tb.Context()
	if _, err := f.client.ChangeAs(ctx, "model", http.MethodPut, "/admin/v1/models/"+fleetModel, catalogue.Model{Name: fleetModel}); err != nil {
		f.tb.Fatal(err)
	}
	for i := range 8 {
		ref := catalogue.Ref{Adapter: fmt.Sprintf("plan-%d", i), Version: "1"}
		adapter := catalogue.Adapter{Ref: ref, BaseModel: fleetModel, Source: "store://" + ref.String()}
		if _, err := f.client.ChangeAs(ctx, ref.String(), http.MethodPut, "/admin/v1/adapters/"+ref.String(), adapter); err != nil {
			f.tb.Fatal(err)
		}
	}
	return f.putContract(0)
}

// putContract replaces the given revision of the fleet's contract and returns the
// index of the change.
func (f *fleet) putContract(revision uint64) uint64 {
	f.tb.Helper()
	next := contract.Contract{
		ID:        "amman",
		Revision:  revision,
		KeyHashes: []string{follow.HashKey(fleetCallerKey)},
		Adapters:  []string{"*"},
		Share:     1,
		Limits:    contract.Limits{RequestsPerSecond: 10_000, TokensPerMinute: 1_000_000_000, Concurrency: 10_000, MaxWait: 10 * time.Second},
	}
	result, err := f.client.ChangeAs(f.tb.Context(), fmt.Sprint("contract-", revision), http.MethodPut, "/admin/v1/contracts/amman", next)
	if err != nil {
		f.tb.Fatal(err)
	}
	return result.Index
}

// adapterName returns the adapter that the i-th caller requests.
func adapterName(i int) string { return fmt.Sprintf("plan-%d@1", i%8) }

// url returns the base URL at which callers reach an entry.
func (p *process) url() string { return "http://" + p.listen }

// usage holds the resources that a process has used so far.
type usage struct {
	cpuTime       time.Duration
	residentBytes int64
	rpcBytes      int64
}

const clockTicksPerSecond = 100

func (f *fleet) usage(p *process) usage {
	f.tb.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		f.tb.Fatalf("%s: %v\n%s", p.name, err, p.log)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	var rpcBytes int64
	if p.status != "" {
		rpcBytes = f.counter(p, "rpc_bytes_sent") + f.counter(p, "rpc_bytes_received")
	}
	return usage{
		cpuTime:       time.Duration(user+system) * time.Second / clockTicksPerSecond,
		residentBytes: pages * int64(os.Getpagesize()),
		rpcBytes:      rpcBytes,
	}
}

// counter returns the value of a counter of a process.
func (f *fleet) counter(p *process, name string) int64 {
	f.tb.Helper()
	response, err := http.Get("http://" + p.status + "/debug/vars")
	if err != nil {
		f.tb.Fatal(err)
	}
	defer response.Body.Close()
	var counters map[string]json.RawMessage
	if err := json.NewDecoder(response.Body).Decode(&counters); err != nil {
		f.tb.Fatal(err)
	}
	value, _ := strconv.ParseInt(string(counters[name]), 10, 64)
	return value
}

func (p *process) signal(tb testing.TB, s syscall.Signal) {
	tb.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		tb.Fatal(err)
	}
}
