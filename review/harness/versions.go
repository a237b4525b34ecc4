package harness

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Versions is a deployment with one engine, its agent and two entries, in which new versions of adapter a1 can be named.
type Versions struct {
	Fleet   *Fleet
	Entries []*Process
	Agent   *Process
	Engine  *Server
	Client  *Client

	mu     sync.Mutex
	newest int64
	acked  map[int64]time.Time
	all    sync.WaitGroup
}

// StartVersions starts the deployment and returns once a stream on the adapter was served.
// Adapters take adapterMB each of the engine's memory.
func StartVersions(f *Fleet, adapterMB float64) (*Versions, error) {
	v := &Versions{Fleet: f, newest: 1, acked: make(map[int64]time.Time), Client: &Client{Fleet: f}}
	v.Entries = f.AddEntries(2)
	v.Agent = f.AddAgent(11, "llm", v.Entries)
	v.Engine = &Server{Name: "engine", Service: "llm", Address: f.ServerAddress(11), Engine: &Engine{Gap: 50 * time.Millisecond, AdapterMB: adapterMB, Newest: func(string) int64 {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.newest
	}}}
	if err := v.Engine.Start(f, v.Entries); err != nil {
		return nil, err
	}
	for _, p := range append(v.Entries[:2:2], v.Agent) {
		if err := p.Run(); err != nil {
			return nil, err
		}
	}
	config := map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "plan", "host": "desk.example", "path-prefix": "/plan/", "kind": "stream", "timeout-ms": 15000, "target-latency-ms": 800, "priority": 1, "service": "llm", "max-attempts": 1,
			"sticky": true, "resumable": false, "target-gap-ms": 300,
		}},
		"services": []any{map[string]any{
			"name": "llm", "health-path": "/health", "max-conns": 310, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": batch, "kv-capacity": 120000, "kv-token-bytes": 163840, "link-mbps": 88000, "moves": true, "backups": true, "stride": 3, "max-count": 12, "host-mb": 150000, "disk-mb": 460000,
				"pin-ms": 4000, "hold-ms": 2000, "handle_s": 5, "mb": engineMB, "adapter-slots": adapterSlots, "loads-per-s": 4.2,
				"models": []any{map[string]any{"name": Model, "mb": modelMB, "load-time-s": 5.4, "adapters": 3000, "adapter-mb": adapterMB, "warm-s": 1.1, "disk-s": 2.2}},
			},
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	if _, err := Operator(f, v.Entries, "/Config.Put", config); err != nil {
		return nil, err
	}
	if err := AwaitReady(v.Entries); err != nil {
		return nil, err
	}
	for until := time.Now().Add(15 * time.Second); v.stream(0, "a1", 2) != http.StatusOK; {
		if time.Now().After(until) {
			return nil, fmt.Errorf("no stream is served")
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * Contact)
	return v, nil
}

// stream sends one stream request of so many events to an entry.
func (v *Versions) stream(entry int, adapter string, events int) int {
	return v.Client.Send(v.Entries[entry%len(v.Entries)], http.MethodPost, "/plan/1", map[string]string{
		"Model": Model + "/" + adapter, "Token-Count": "1460,80", "Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250", "Events": strconv.Itoa(events),
	}, 15*time.Second)
}

// Stream sends one stream request on adapter a1 and does not wait for its answer.
func (v *Versions) Stream(entry, events int) { v.StreamOn(entry, "a1", events) }

// StreamOn sends one stream request on an adapter and does not wait for its answer.
func (v *Versions) StreamOn(entry int, adapter string, events int) {
	v.all.Go(func() { v.stream(entry, adapter, events) })
}

// Wait waits for the answers to all streams.
func (v *Versions) Wait() { v.all.Wait() }

// Name names the next version of the adapter.
func (v *Versions) Name() (acked time.Time, err error) {
	v.mu.Lock()
	v.newest++
	version := v.newest
	v.mu.Unlock()
	acked, err = Operator(v.Fleet, v.Entries, "/version-put", map[string]any{"model": Model, "adapter": "a1", "version": version})
	v.mu.Lock()
	defer v.mu.Unlock()
	v.acked[version] = acked
	v.Fleet.Record.Printf("version %d of a1 is named", version)
	return acked, err
}

// Broken lists the requests that began on a version later than version_ms after a newer one was acknowledged. No link was
// disrupted and no entry was touched, so the entries were in touch and the core was stable all the time.
func (v *Versions) Broken() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var broken []string
	for _, r := range v.Engine.Runs() {
		for version := r.Version + 1; version <= v.newest; version++ {
			if late := r.At.Sub(v.acked[version]); late > Version {
				broken = append(broken, fmt.Sprintf("VERSION: request %s began on version %d, %.3f s after version %d was acknowledged", r.ID, r.Version, late.Seconds(), version))
				break
			}
		}
	}
	return broken
}
