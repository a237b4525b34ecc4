package gateway

import (
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/residency"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Guards against an entry that offers each request to an engine whose agent declines
// them all while it reports no delay, and against a floor for agents that report why
// they decline.
func TestDeclinesAgainstReportsDelayTheEngine(t *testing.T) {
	offered := dispatch.Conditions{MaxDelay: 500 * time.Millisecond}
	for _, test := range []struct {
		name     string
		reply    wire.StartReply
		floor    bool
		declined int64
	}{
		{"declined without a reported delay", wire.StartReply{Declined: true, Reason: string(residency.ReasonBusy)}, true, 1},
		{"declined by a reported delay", wire.StartReply{Declined: true, Reason: string(residency.ReasonBusy), State: wire.EngineState{DelayMillis: []int64{900}}}, false, 1},
		{"declined by a reported hold", wire.StartReply{Declined: true, Reason: string(residency.ReasonBusy), State: wire.EngineState{HoldAbove: 800, HoldMillis: 500}}, false, 1},
		{"declined beside a hold of longer prompts", wire.StartReply{Declined: true, Reason: string(residency.ReasonBusy), State: wire.EngineState{HoldAbove: 1200, HoldMillis: 500}}, true, 1},
		{"adapter not held", wire.StartReply{Declined: true, Reason: string(residency.ReasonNotHeld)}, false, 1},
		{"started", wire.StartReply{Start: true}, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := &agentClient{}
			a.setState(wire.EngineState{Known: true, Models: []string{"base"}})
			offers, declined, contradicted := offersCount.Value(), offersDeclinedCount.Value(), offersContradictedCount.Value()
			a.recordOffer(&pick{Candidate: dispatch.Candidate{Residence: dispatch.Resident}}, offered, 0, 1000, 0, &test.reply)
			// The next report, which is false again, does not end the floor.
			a.setState(wire.EngineState{Known: true, Change: 1, Models: []string{"base"}})
			var c dispatch.Candidate
			a.describe(&c, &dispatch.Request{}, "base", time.Now())
			if got := c.Delay > offered.MaxDelay; got != test.floor || !got && c.Delay != 0 {
				t.Errorf("the delay is %s after the reply, want a floor: %v", c.Delay, test.floor)
			}
			if offersCount.Value() != offers+1 || offersDeclinedCount.Value() != declined+test.declined {
				t.Errorf("%d offers and %d declines were counted, want 1 and %d", offersCount.Value()-offers, offersDeclinedCount.Value()-declined, test.declined)
			}
			if got := offersContradictedCount.Value() > contradicted; got != test.floor {
				t.Errorf("counted as a contradiction: %v, want %v", got, test.floor)
			}
		})
	}
}
