package entry_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/standin/engine"
)

// A server leaves while the entry is partitioned from the control instances or the
// announcement is lost, so the entry's directory is stale. New requests must
// nevertheless go to another server, immediately and without an error for a caller,
// while the leaving server finishes its running requests.
func TestLeavingServerGetsNoNewRequestsFromStaleEntry(t *testing.T) {
	leaving := engine.New(engine.Options{BaseModel: baseModel, Slots: 2})
	staying := engine.New(engine.Options{BaseModel: baseModel, Slots: 2})
	a, first := startAgent(t, leaving.Handler())
	_, second := startAgent(t, staying.Handler())
	busy := engineServer("floor-2", second)
	busy.Load.Running = 9
	_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", first), busy))
	send := func() callResult {
		return call(t, server, http.MethodPost, "/v1/completions", "", completion("x", 2, false))
	}
	if got := send(); got.outcome != outcome.Answered || len(leaving.Started()) != 1 {
		t.Fatalf("before the server leaves: outcome %v, it ran %d requests; want answered, 1", got.outcome, len(leaving.Started()))
	}
	a.Leave()
	for range 5 {
		if got := send(); got.outcome != outcome.Answered {
			t.Errorf("after the server left: status %d, body %s; want an answer of the other server", got.status, got.body)
		}
	}
	if len(leaving.Started()) != 1 || len(staying.Started()) != 5 {
		t.Errorf("the leaving server ran %d requests, the other %d; want 1 and 5", len(leaving.Started()), len(staying.Started()))
	}
}

// A booking desk without an agent is shut down without notice to the entry. Its
// address refuses connections, so even a deposit can safely be sent to the other
// desk.
func TestUnannouncedServiceShutdownLosesNoCall(t *testing.T) {
	var ran atomic.Int64
	gone := startCuttingServer(t, cutDial)
	running := startHandler(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	_, server := newEntry(t, entry.Options{}, newSource(service("a", gone.address(), 0), service("b", running, 9)))
	for range 5 {
		if got := call(t, server, http.MethodPost, "/services/desk/once", "", "x"); got.outcome != outcome.Answered {
			t.Errorf("got outcome %v, status %d; want answered", got.outcome, got.status)
		}
	}
	if ran.Load() != 5 {
		t.Errorf("%d of 5 calls ran", ran.Load())
	}
}
