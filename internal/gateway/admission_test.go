package gateway

import (
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/route"
)

// Guards against a request that a stopping entry takes late, on an estimate of how long it lasts, and cuts off at the end of its stop.
func TestStoppingEntryTakesNoLateRequestThatMayOutlastIt(t *testing.T) {
	const stopsIn = time.Minute
	for name, c := range map[string]struct {
		kind           route.Kind
		admissionEnded bool
		typical        time.Duration
		deadline       time.Duration
		refused        bool
	}{
		"a stream that ends in time as a rule, while callers may still be sent": {kind: route.KindStream, typical: time.Second, deadline: 2 * stopsIn},
		"a stream that lasts longer as a rule, while callers may still be sent": {kind: route.KindStream, typical: 2 * stopsIn, deadline: 2 * stopsIn, refused: true},
		"a call, while callers may still be sent":                               {kind: route.KindSafe, deadline: 2 * stopsIn},
		"a stream that ends in time as a rule, later":                           {kind: route.KindStream, admissionEnded: true, typical: time.Second, deadline: 2 * stopsIn, refused: true},
		"a stream whose caller waits no longer than the stop takes, later":      {kind: route.KindStream, admissionEnded: true, typical: time.Second, deadline: stopsIn / 2},
		"a call whose caller would wait longer than the stop takes, later":      {kind: route.KindUnsafe, admissionEnded: true, deadline: 2 * stopsIn, refused: true},
		"a call whose caller waits no longer than the stop takes, later":        {kind: route.KindSafe, admissionEnded: true, deadline: stopsIn / 2},
	} {
		g := &Gateway{options: Options{StopTimeout: stopsIn}, durations: newDurations()}
		if c.typical > 0 {
			g.durations.record("plan", c.typical)
			for range 100 {
				g.durations.record("plan", c.typical)
			}
		}
		x := &exchange{Gateway: g, route: &route.Route{Name: "plan", Kind: c.kind, Timeout: c.deadline}, deadline: time.Now().Add(c.deadline)}
		if x.mayOutlastStop() {
			t.Errorf("%s: refused before the stop", name)
		}
		g.Stop()
		if c.admissionEnded {
			g.EndAdmission()
		}
		if got := x.mayOutlastStop(); got != c.refused {
			t.Errorf("%s: refused %v, want %v", name, got, c.refused)
		}
	}
}
