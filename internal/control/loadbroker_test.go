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

func wanting(order uint64) broker.Report {
	return broker.Report{Wanted: []broker.Want{{Order: order, Demand: 1}}}
}

func oneAtATime() *LoadBroker {
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

func TestReportWaitsForAPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := oneAtATime()
		if got := mustSync(t, l, loads("a", 1, time.Second, wanting(1))); len(got.Granted) != 1 {
			t.Fatalf("the first load was not granted: %v", got)
		}
		go func() {
			time.Sleep(200 * time.Millisecond)
			done := broker.Report{Finished: []broker.Finished{{Order: 1, Took: 200 * time.Millisecond}}}
			_, _ = l.Sync(context.Background(), loads("a", 2, 0, done))
		}()
		began := time.Now()
		got := mustSync(t, l, loads("b", 1, time.Second, wanting(7)))
		if len(got.Granted) != 1 || got.Granted[0] != 7 || time.Since(began) != 200*time.Millisecond {
			t.Errorf("got %v after %s", got, time.Since(began))
		}
	})
}

// A poll that waits for a permit must not hold up the agent's next report, and
// one that arrives late must not bring back what the newer one gave up.
func TestNewerReportEndsTheOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := oneAtATime()
		mustSync(t, l, loads("a", 1, 0, wanting(1)))
		ended := make(chan time.Duration, 1)
		go func() {
			began := time.Now()
			_, _ = l.Sync(context.Background(), loads("b", 1, time.Second, wanting(1)))
			ended <- time.Since(began)
		}()
		time.Sleep(100 * time.Millisecond)
		mustSync(t, l, loads("b", 2, 0, broker.Report{}))
		if after := <-ended; after != 100*time.Millisecond {
			t.Errorf("the older report ended after %s", after)
		}
		mustSync(t, l, loads("b", 1, 0, wanting(1)))
		if l.broker.Queued() != 0 {
			t.Errorf("a late report brought its wish back")
		}
	})
}
