package harness

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/answer"
)

const (
	// Model is the name of the base model.
	Model = "m0"
	// batch is how many requests an engine runs at once.
	batch = 48
	// loadTime is how long an adapter takes.
	loadTime = 250 * time.Millisecond
	// engineMB is an engine's memory for weights and adapters, modelMB the size of the base model, and adapterSlots
	// the number of adapters that an engine holds, as on the sheet of dabke-book.
	engineMB     = 66600.0
	modelMB      = 65100.0
	adapterSlots = 19
)

// Engine is what a model engine holds and does. It starts with its base model and replaces an adapter once no run
// uses it.
type Engine struct {
	// Newest is the newest version of each adapter in the store.
	Newest func(adapter string) int64
	// Gap is the pause between the events of a stream; the client names their number in Events.
	Gap time.Duration
	// AdapterMB is the size of an adapter.
	AdapterMB float64
	server    *Server

	mu       sync.Mutex
	held     map[string]int64
	coming   map[string]int64
	running  map[string]*engineRun
	sequence int64
	token    int64
	// beyond lists the orders to load more than the engine's memory or places hold. It crashes at the first.
	beyond []string
}

type engineRun struct {
	adapter string
	events  int
}

// models lists what the engine holds.
func (e *Engine) models() []map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.modelsLocked()
}

func (e *Engine) modelsLocked() []map[string]any {
	adapters := []string{}
	for name, version := range e.held {
		adapters = append(adapters, fmt.Sprintf("%s@%d", name, version))
	}
	return []map[string]any{{"name": Model, "version": 1, "adapters": adapters}}
}

func (e *Engine) report(*http.Request) answer.Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	coming, runs := []string{}, [][]any{}
	for name, version := range e.coming {
		coming = append(coming, fmt.Sprintf("%s/%s@%d", Model, name, version))
	}
	for id, run := range e.running {
		runs = append(runs, []any{id, 1500, run.events, 5})
	}
	report, err := json.Marshal(map[string]any{
		"stage": "unified", "models": e.modelsLocked(), "busy": false, "sequence": e.sequence, "waiting": 0, "running": len(runs), "kv-used": 1500 * len(runs), "kv-total": 120000,
		"handles": 0, "coming": coming, "runs": runs, "state": "ready", "born": e.server.born, "available": map[string]any{"in-memory": []string{Model}, "on-disk": []string{Model}},
	})
	if err != nil {
		panic(err)
	}
	return answer.Full(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, report)
}

// inUse must be called with mu held.
func (e *Engine) inUse(adapter string) bool {
	for _, run := range e.running {
		if run.adapter == adapter {
			return true
		}
	}
	return false
}

func (e *Engine) order(r *http.Request) answer.Answer {
	var o struct {
		Operation    string `json:"operation"`
		Model        string `json:"model"`
		Adapter      string `json:"adapter"`
		Version      int64  `json:"version"`
		Precondition *int64 `json:"precondition"`
		Holder       string `json:"holder"`
		Token        int64  `json:"fencing-token"`
	}
	err := json.NewDecoder(r.Body).Decode(&o)
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case err != nil || o.Holder == "" || o.Token == 0 || o.Adapter == "":
		status = http.StatusBadRequest
	case r.Header.Get("Target-Instance") != "" && r.Header.Get("Target-Instance") != e.server.ID:
		status = http.StatusMisdirectedRequest
	case o.Token < e.token:
		status = http.StatusPreconditionFailed
	case o.Precondition != nil && *o.Precondition != e.sequence:
		status = http.StatusConflict
	}
	e.server.record.Printf("%s gets an order from %s: %s %s version %d, number %d: %d", e.server.Name, o.Holder, o.Operation, o.Adapter, o.Version, o.Token, status)
	if status != http.StatusAccepted {
		return answer.Full(status, nil, nil)
	}
	e.token = o.Token
	e.sequence++
	if o.Operation == "unload" {
		delete(e.held, o.Adapter)
		return answer.Full(http.StatusOK, nil, nil)
	}
	version := o.Version
	if version == 0 {
		version = e.Newest(o.Adapter)
	}
	if e.coming == nil {
		e.coming, e.held = make(map[string]int64), make(map[string]int64)
	}
	if e.exceeds(o.Adapter) {
		e.crash(o.Adapter)
		// The connection ends without an answer.
		return answer.Answer{}
	}
	e.coming[o.Adapter] = version
	go e.load(o.Adapter, version)
	return answer.Full(status, nil, nil)
}

// exceeds reports whether one more adapter is beyond what the engine holds. It must be called with mu held.
func (e *Engine) exceeds(adapter string) bool {
	names := map[string]bool{adapter: true}
	for name := range e.held {
		names[name] = true
	}
	for name := range e.coming {
		names[name] = true
	}
	return len(names) > adapterSlots || modelMB+float64(len(names))*e.AdapterMB > engineMB
}

// crash ends the engine, with all that it runs. It must be called with mu held.
func (e *Engine) crash(adapter string) {
	line := fmt.Sprintf("LIMIT: %s, which holds its model of %.0f MB, %d adapters of %.0f MB and %d on their way, was ordered to load %s too: its memory is %.0f MB",
		e.server.Name, modelMB, len(e.held), e.AdapterMB, len(e.coming), adapter, engineMB)
	e.beyond = append(e.beyond, line)
	e.server.record.Printf("%s crashes with %d requests running", e.server.Name, len(e.running))
	go e.server.Stop()
}

// Beyond lists the orders to load more than the engine holds.
func (e *Engine) Beyond() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.beyond...)
}

// load fetches an adapter, and puts it in place once no run uses the version before.
func (e *Engine) load(adapter string, version int64) {
	time.Sleep(loadTime)
	for {
		e.mu.Lock()
		if !e.inUse(adapter) {
			e.held[adapter] = version
			delete(e.coming, adapter)
			e.mu.Unlock()
			e.server.record.Printf("%s holds %s@%d", e.server.Name, adapter, version)
			return
		}
		e.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

func (e *Engine) serve(r *http.Request, id string, header http.Header) answer.Answer {
	_, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	var events int
	_, _ = fmt.Sscan(r.Header.Get("Events"), &events)
	e.mu.Lock()
	version, held := e.held[adapter]
	_, replaced := e.coming[adapter]
	switch {
	case !held:
		e.mu.Unlock()
		return answer.Full(http.StatusMisdirectedRequest, header, nil)
	case replaced || len(e.running) >= batch:
		e.mu.Unlock()
		header.Set("Not-Executed", "1")
		return answer.Full(http.StatusServiceUnavailable, header, nil)
	}
	run := &engineRun{adapter: adapter}
	if e.running == nil {
		e.running = make(map[string]*engineRun)
	}
	e.running[id] = run
	e.mu.Unlock()
	e.server.addRun(Run{ID: id, At: time.Now(), Version: version})
	header.Set("Response-Signature", "sig."+id)
	header.Set("Content-Type", "text/event-stream")
	header.Set("Weight-Versions", fmt.Sprint(version))
	return answer.Stream(http.StatusOK, header, func(pass answer.Pass) answer.End {
		defer func() {
			e.mu.Lock()
			delete(e.running, id)
			e.mu.Unlock()
		}()
		return e.generate(r, run, events, pass)
	})
}

// generate makes the events of a run.
func (e *Engine) generate(r *http.Request, run *engineRun, events int, pass answer.Pass) answer.End {
	for n := 1; n <= events; n++ {
		if pass(fmt.Appendf(nil, "id: %d\ndata: token %d\n\n", n, n)) != nil {
			return answer.Cut
		}
		e.mu.Lock()
		run.events = n
		e.mu.Unlock()
		select {
		case <-time.After(e.Gap):
		case <-r.Context().Done():
			return answer.Cut
		}
	}
	return answer.Complete(nil)
}
