package entry_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/standin/engine"
)

// A server leaves while control is parted from the entry, or its word is lost:
// the entry's picture of the system stays as it was. New work must still go
// elsewhere, at once and without an error to a caller, while the leaving server
// finishes what it has.
func TestALeavingServerGetsNoNewWorkThoughNobodyHeardOfIt(t *testing.T) {
	leaving := engine.New(engine.Options{BaseModel: baseModel, Slots: 2})
	staying := engine.New(engine.Options{BaseModel: baseModel, Slots: 2})
	a, first := startAgent(t, leaving.Handler())
	_, second := startAgent(t, staying.Handler())
	busy := engineServer("floor-2", second)
	busy.Load.Running = 9
	_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", first), busy))
	ask := func() told {
		return call(t, server, http.MethodPost, "/v1/completions", "", completion("x", 2, false))
	}
	if got := ask(); got.outcome != outcome.Answered || len(leaving.Ran()) != 1 {
		t.Fatalf("before it leaves: %v, it ran %d", got.outcome, len(leaving.Ran()))
	}
	a.Leave()
	for range 5 {
		if got := ask(); got.outcome != outcome.Answered {
			t.Errorf("after it left: %d %s", got.status, got.body)
		}
	}
	if len(leaving.Ran()) != 1 || len(staying.Ran()) != 5 {
		t.Errorf("the leaving server ran %d, the other %d", len(leaving.Ran()), len(staying.Ran()))
	}
}

// A booking desk without an agent is switched off and its word is lost. Its
// address refuses connections, so that even a deposit can safely go to the
// other desk.
func TestAServiceThatIsGoneWithoutAWordLosesNoCall(t *testing.T) {
	var ran atomic.Int64
	gone := startCutting(t, cutDial)
	there := startHandler(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	_, server := newEntry(t, entry.Options{}, newSource(service("a", gone.address(), 0), service("b", there, 9)))
	for range 5 {
		if got := call(t, server, http.MethodPost, "/services/desk/once", "", "x"); got.outcome != outcome.Answered {
			t.Errorf("told %v with %d", got.outcome, got.status)
		}
	}
	if ran.Load() != 5 {
		t.Errorf("ran %d of 5", ran.Load())
	}
}
