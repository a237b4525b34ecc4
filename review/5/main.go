// Command 5 shows that an acknowledged leave of a server is forgotten when all entries are killed right after it.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarypass/rosemarypass/review/harness"
)

func main() { os.Exit(harness.Main(run)) }

// linger is how long the leaving server goes on to serve after the acknowledgement: drain-ms and a little longer.
const linger = 7 * time.Second

func run(f *harness.Fleet) ([]string, error) {
	entries := f.AddEntries(3)
	for _, e := range entries {
		if err := e.Run(); err != nil {
			return nil, err
		}
	}
	leaving := &harness.Server{Name: "a", Service: "desk", Address: f.ServerAddress(11), Work: 20 * time.Millisecond}
	staying := &harness.Server{Name: "b", Service: "desk", Address: f.ServerAddress(12), Work: 20 * time.Millisecond}
	for _, s := range []*harness.Server{leaving, staying} {
		if err := s.Start(f, entries); err != nil {
			return nil, err
		}
	}
	config := map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "lookup", "host": "desk.example", "path-prefix": "/lookup/", "kind": "safe", "timeout-ms": 2000, "target-latency-ms": 300, "priority": 2, "service": "desk", "max-attempts": 2}},
		"services": []any{map[string]any{"name": "desk", "health-path": "/health", "max-conns": 120, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	if _, err := harness.Operator(f, entries, "/Config.Put", config); err != nil {
		return nil, err
	}
	if err := harness.AwaitReady(entries); err != nil {
		return nil, err
	}
	client := &harness.Client{Fleet: f}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, e := range entries {
		clients.Go(func() {
			ticker := time.NewTicker(50 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					clients.Go(func() { client.Send(e, http.MethodGet, "/lookup/1", nil, 4*time.Second) })
				case <-stop:
					return
				}
			}
		})
	}
	// All machines have been in touch for a while when the server leaves.
	time.Sleep(2 * harness.Contact)
	acked, err := leaving.Leave(entries[0])
	if err != nil {
		return nil, err
	}
	calm := acked
	if harness.Trouble() {
		for _, e := range entries {
			e.Signal(syscall.SIGKILL)
		}
		var restarts sync.WaitGroup
		for _, e := range entries {
			restarts.Go(func() {
				if err := e.Restart(); err != nil {
					f.Record.Printf("%s was not restarted: %v", e.Name, err)
				}
			})
		}
		restarts.Wait()
		for _, e := range entries {
			if e.Started().After(calm) {
				calm = e.Started()
			}
		}
	}
	time.Sleep(time.Until(acked.Add(linger)))
	leaving.Stop()
	close(stop)
	clients.Wait()
	if len(staying.Runs()) == 0 || len(leaving.Runs()) == 0 {
		return nil, fmt.Errorf("a server ran nothing")
	}
	// In touch: no process was killed or started for contact-ms.
	inTouch := calm.Add(harness.Contact)
	f.Record.At(acked.Add(harness.Drain), "from here on %s must get nothing", leaving.Name)
	f.Record.At(inTouch, "from here on all machines are in touch")
	var broken []string
	for _, r := range leaving.Runs() {
		if r.At.After(acked.Add(harness.Drain)) && client.Sent(r.ID).After(inTouch) {
			broken = append(broken, fmt.Sprintf("DRAIN: request %s reached %s %.3f s after its leave was acknowledged, sent %.3f s after all machines were in touch again", r.ID, leaving.Name, r.At.Sub(acked).Seconds(), client.Sent(r.ID).Sub(inTouch).Seconds()))
		}
	}
	return broken, nil
}
