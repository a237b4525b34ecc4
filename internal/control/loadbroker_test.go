package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/broker"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

func loads(agent string, sequence uint64, wait time.Duration, r broker.Report) wire.Loads {
	r.Agent, r.Incarnation = agent, 1
	return wire.Loads{Report: r, Sequence: sequence, WaitMillis: wait.Milliseconds()}
}

func wantReport(order uint64) broker.Report {
	return broker.Report{Wanted: []broker.Want{{Order: order, Demand: 1}}}
}

func newSingleLoadBroker() *LoadBroker {
	return NewLoadBroker(broker.Options{Window: broker.WindowOptions{Initial: 1, Max: 1}})
}

func mustSync(t *testing.T, l *LoadBroker, in wire.Loads) wire.LoadsReply {
	t.Helper()
	reply, err := l.Sync(context.Background(), in)
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

func TestSyncWaitsForPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newSingleLoadBroker()
		if got := mustSync(t, l, loads("a", 1, time.Second, wantReport(1))); len(got.Granted) != 1 {
			t.Fatalf("the first load was not granted: %v", got)
		}
		go func() {
			time.Sleep(200 * time.Millisecond)
			done := broker.Report{Finished: []broker.Finished{{Order: 1, Took: 200 * time.Millisecond}}}
			_, _ = l.Sync(context.Background(), loads("a", 2, 0, done))
		}()
		start := time.Now()
		got := mustSync(t, l, loads("b", 1, time.Second, wantReport(7)))
		if len(got.Granted) != 1 || got.Granted[0] != 7 || time.Since(start) != 200*time.Millisecond {
			t.Errorf("got %v after %s, want order 7 after 200ms", got, time.Since(start))
		}
	})
}

// A poll that waits for a permit must not delay the agent's next report, and a report
// that arrives late must not restore loads that a newer report has withdrawn.
func TestNewerReportSupersedesOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newSingleLoadBroker()
		mustSync(t, l, loads("a", 1, 0, wantReport(1)))
		ended := make(chan time.Duration, 1)
		go func() {
			start := time.Now()
			_, _ = l.Sync(context.Background(), loads("b", 1, time.Second, wantReport(1)))
			ended <- time.Since(start)
		}()
		time.Sleep(100 * time.Millisecond)
		mustSync(t, l, loads("b", 2, 0, broker.Report{}))
		if after := <-ended; after != 100*time.Millisecond {
			t.Errorf("the older report ended after %s, want 100ms", after)
		}
		mustSync(t, l, loads("b", 1, 0, wantReport(1)))
		if l.broker.Queued() != 0 {
			t.Errorf("a late report restored a withdrawn load")
		}
	})
}
