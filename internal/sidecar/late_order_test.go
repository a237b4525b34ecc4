package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// lateOrderScenario lets an order of the engine's first incarnation get no answer, restarts the engine, and
// brings the count of its orders round to the one that the order names before the order is carried out.
type lateOrderScenario struct {
	// born and id identify the second incarnation; the first is born at 1 as engine-1.
	born int64
	id   string
	// named is set where the entries tell the agent the engine's ID.
	named bool
}

func (c lateOrderScenario) play(t *testing.T) *fakeEngine {
	const late = 10 * time.Second
	e := newFakeEngine(t)
	e.id = "engine-1"
	runAgent(t, e, func(t *testing.T, s *Sidecar) {
		c.use(t, s, e, "m/a")
		e.mu.Lock()
		e.lostReplies, e.lostDelay = 1, late
		e.mu.Unlock()
		sent := time.Now()
		c.use(t, s, e, "m/b")
		e.restart(time.Second)
		e.mu.Lock()
		e.born, e.id = c.born, c.id
		e.mu.Unlock()
		time.Sleep(time.Second)
		// The first incarnation had accepted one order when the lost one was sent.
		c.use(t, s, e, "m/c")
		time.Sleep(time.Until(sent.Add(late + time.Second)))
		// Both places are in use again.
		c.use(t, s, e, "m/d")
		c.use(t, s, e, "m/e")
	})
	return e
}

// use starts a request on an adapter and ends it.
func (c lateOrderScenario) use(t *testing.T, s *Sidecar, e *fakeEngine, adapter string) {
	t.Helper()
	request := wire.StartRequest{ID: "use " + adapter, Adapter: adapter, Prompt: 10, Tokens: 20, WaitMillis: 5000}
	if e.mu.Lock(); c.named {
		request.Engine, request.Born = e.id, e.born
	}
	e.mu.Unlock()
	if reply, err := s.admit(t.Context(), request); err != nil || !reply.Start {
		t.Fatalf("the start on %s: %+v, %v", adapter, reply, err)
	}
	if _, err := s.done(t.Context(), wire.StartDone{ID: request.ID}); err != nil {
		t.Fatal(err)
	}
}

// Guards against an order that got no answer and that the engine's next incarnation carries out, because its order count is the expected one again.
func TestOrderOfEarlierIncarnationIsRejected(t *testing.T) {
	for _, c := range []lateOrderScenario{
		{born: 2, id: "engine-2"}, {born: 2, id: "engine-1"}, {born: 2, id: "engine-2", named: true}, {born: 2, id: "engine-1", named: true},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			e := c.play(t)
			if e.rejected != 1 {
				t.Errorf("%d orders of the earlier incarnation were rejected, want 1", e.rejected)
			}
			for _, o := range e.accepted()[3:] {
				if o.Adapter == "b" {
					t.Errorf("the next incarnation carried out %+v", o)
				}
			}
		})
	}
}

// Guards against a count that a report from before the latest order sets back, so that the next order is refused.
func TestReportFromBeforeAnOrderKeepsItsCount(t *testing.T) {
	l := &loop{sequence: 5, answeredAt: time.Unix(10, 0)}
	l.takeCount(Report{Sequence: 4}, time.Unix(9, 0))
	if l.sequence != 5 {
		t.Errorf("a report that was requested before the order's answer set the count to %d, want 5", l.sequence)
	}
	l.takeCount(Report{Sequence: 7}, time.Unix(11, 0))
	if l.sequence != 7 {
		t.Errorf("a report that was requested after the order's answer left the count at %d, want 7", l.sequence)
	}
}
