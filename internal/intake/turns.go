package intake

import (
	"net/http"
	"runtime"
	"sync"

	"github.com/rosemarypass/rosemarypass/internal/answer"
)

// turnsPerProcessor is how many bodies are taken apart at once for each processor: one more than can run, so that none idles.
const turnsPerProcessor = 2

// newTurns returns the turns of a process.
func newTurns() chan struct{} { return make(chan struct{}, turnsPerProcessor*runtime.GOMAXPROCS(0)) }

// turn is the part of one body in the turns of a process. It is taken while bytes that have arrived are taken apart, and
// given back while the body waits for more. Chunks of a byte cost so much that many bodies would otherwise keep the
// processor from everything else: the scheduler lets each of them run for 10 ms.
type turn struct {
	turns chan struct{}

	mu sync.Mutex
	// taken is set while the turn is taken, ended once it must not be taken any more.
	taken, ended bool
}

// Acquire implements answer.ReadGate.
func (t *turn) Acquire() {
	select {
	case t.turns <- struct{}{}:
	default:
		t.turns <- struct{}{}
		// Whoever gives a turn back makes the next one run at once, ahead of all other goroutines.
		runtime.Gosched()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || t.taken {
		<-t.turns
		return
	}
	t.taken = true
}

// Release implements answer.ReadGate.
func (t *turn) Release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.release()
}

// release gives the turn back; mu must be held.
func (t *turn) release() {
	if t.taken {
		t.taken = false
		<-t.turns
	}
}

// end gives the turn back for good. net/http may still be reading the connection, for its next request.
func (t *turn) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	t.release()
}

// ReadRequest reads the body of a request as ReadBody does, in turns with those of other requests.
func (h *Holding) ReadRequest(r *http.Request, limit int64) ([]byte, error) {
	if h == nil {
		return h.ReadBody(r.Body, r.ContentLength, limit)
	}
	t := &turn{turns: h.budget.turns}
	endGate, gated := answer.GateReads(r.Context(), t)
	if gated {
		t.Acquire()
		defer endGate()
		defer t.end()
	}
	return h.ReadBody(r.Body, r.ContentLength, limit)
}
