package control_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/internal/control"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/operator"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

const operatorKey = "operator-key"

var operatorOptions = control.Options{
	OperatorKeyHashes: []string{follow.HashKey(operatorKey)},
	DaemonLease:       400 * time.Millisecond,
}

// serveOperators returns the operators' URL of each instance. If the flag of an
// instance in lost is set, the instance executes requests and then aborts the
// connection without an answer.
func (c *cluster) serveOperators(lost ...*atomic.Bool) []string {
	var urls []string
	for i, m := range c.members {
		handler := m.control.OperatorHandler()
		web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if i < len(lost) && lost[i].Load() {
				handler.ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			}
			handler.ServeHTTP(w, r)
		}))
		c.t.Cleanup(web.Close)
		urls = append(urls, web.URL)
	}
	return urls
}

func contractRevision(revision uint64, rate float64) contract.Contract {
	next := putContract(0, rate).PutContract.Contract
	next.Revision = revision
	return next
}

// When many operators change the same contract concurrently, starting from the same
// revision, exactly one must succeed and the others must get the winning contract.
func TestConcurrentChangesOneWins(t *testing.T) {
	c := newCluster(t, 1, operatorOptions)
	urls := c.serveOperators()
	first := c.propose(0, putContract(0, 1))
	var wins, conflicts atomic.Int32
	var operators sync.WaitGroup
	for i := range 8 {
		operators.Go(func() {
			client := operator.NewClient(operator.Options{URLs: urls, Key: operatorKey})
			_, err := client.PutContract(context.Background(), contractRevision(first.Index, float64(10+i)))
			var refused *operator.RefusedError
			switch {
			case err == nil:
				wins.Add(1)
			case errors.As(err, &refused) && refused.Result.Winner.Contract.Limits.RequestsPerSecond >= 10:
				conflicts.Add(1)
			}
		})
	}
	operators.Wait()
	if wins.Load() != 1 || conflicts.Load() != 7 {
		t.Errorf("got %d wins and %d conflicts, want 1 and 7", wins.Load(), conflicts.Load())
	}
}

// When a control instance commits a change and its answer is lost, the operators' tool
// resends the change to another instance. That must return the first answer rather than
// a conflict with the operator's own change.
func TestResendAfterLostAnswerGetsFirstAnswer(t *testing.T) {
	c := newCluster(t, 2, operatorOptions)
	var lost atomic.Bool
	lost.Store(true)
	urls := c.serveOperators(&lost)
	first := c.propose(0, putContract(0, 1))
	client := operator.NewClient(operator.Options{URLs: urls, Key: operatorKey, Operation: "op-7"})
	result, err := client.PutContract(context.Background(), contractRevision(first.Index, 2))
	if err != nil || result.Index != first.Index+1 {
		t.Fatalf("change whose answer was lost: got %+v, %v; want the next index", result, err)
	}
	// Resend by hand at the first instance, after another change.
	lost.Store(false)
	c.propose(1, putContract(result.Index, 3))
	retrying := operator.NewClient(operator.Options{URLs: urls, Key: operatorKey, Operation: "op-7"})
	resent, err := retrying.PutContract(context.Background(), contractRevision(first.Index, 2))
	if err != nil || resent != result {
		t.Errorf("resent %+v, %v; want %+v", resent, err, result)
	}
	if now, _ := c.members[0].control.Contract("cascade"); now.Limits.RequestsPerSecond != 3 {
		t.Errorf("the resend undid the later change: %+v", now.Limits)
	}
}

// An instance without a quorum does not know which changes other instances have
// accepted. Reads from it must be marked as unconfirmed, and changes must go to another
// instance.
func TestIsolatedInstanceMarksReadsUnconfirmed(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, operatorOptions)
	urls := c.serveOperators()
	first := c.propose(0, putContract(0, 1))
	c.members[0].isolated.Store(true)
	client := operator.NewClient(operator.Options{URLs: urls, Key: operatorKey})
	read, err := client.Contract(context.Background(), "cascade")
	if err != nil || !client.Unconfirmed() {
		t.Errorf("read from the isolated instance: got %+v, %v, unconfirmed %t; want an unconfirmed contract", read, err, client.Unconfirmed())
	}
	result, err := client.PutContract(context.Background(), contractRevision(first.Index, 2))
	if err != nil || result.Index != first.Index+1 {
		t.Errorf("change with an isolated instance: got %+v, %v; want the next index", result, err)
	}
	isolatedOnly := operator.NewClient(operator.Options{URLs: urls[:1], Key: operatorKey, Rounds: 1})
	if _, err := isolatedOnly.PutContract(context.Background(), contractRevision(first.Index, 4)); !errors.Is(err, operator.ErrUnknown) {
		t.Errorf("change at the isolated instance: got error %v, want ErrUnknown", err)
	}
}

// When a daemon hangs and no longer follows the feed, an operator who waits for a
// change must learn that this daemon still works without it.
func TestInForceNamesWaitingDaemons(t *testing.T) {
	t.Parallel()
	options := operatorOptions
	options.DaemonLease = time.Minute
	c := newCluster(t, 2, options)
	client := operator.NewClient(operator.Options{URLs: c.serveOperators(), Key: operatorKey})
	first := c.propose(0, putContract(0, 1))
	following := c.follow("entry-following", c.peers...)
	eventually(t, "the first contract", func() bool { return following.Config().Index() == first.Index })
	watch(t, c.members[1].control, wire.Watch{Daemon: "entry-hanging", ConfigIndex: first.Index})
	second := c.propose(0, putContract(first.Index, 2))

	report, err := client.InForce(context.Background(), second.Index, 500*time.Millisecond)
	if err != nil || report.Done || len(report.Waiting) != 1 || report.Waiting[0].Name != "entry-hanging" {
		t.Errorf("got report %+v, %v; want entry-hanging waiting", report, err)
	}
	watch(t, c.members[0].control, wire.Watch{Daemon: "entry-hanging", ConfigIndex: second.Index})
	report, err = client.InForce(context.Background(), second.Index, 10*time.Second)
	if err != nil || !report.Done {
		t.Errorf("got report %+v, %v; want it done", report, err)
	}
}

func TestInForceNamesLostDaemons(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, operatorOptions)
	client := operator.NewClient(operator.Options{URLs: c.serveOperators(), Key: operatorKey})
	first := c.propose(0, putContract(0, 1))
	watch(t, c.members[0].control, wire.Watch{Daemon: "entry-gone", Freshness: freshness.State{Kind: freshness.Fresh}})
	report, err := client.InForce(context.Background(), first.Index, 10*time.Second)
	if err != nil || !report.Done || len(report.Expired) != 1 || report.Expired[0].Name != "entry-gone" {
		t.Errorf("got report %+v, %v; want it done with entry-gone expired", report, err)
	}
}

// An unknown process that announces itself repeatedly under new names must not grow
// the directory without bound.
func TestAnnouncedServersBounded(t *testing.T) {
	c := newCluster(t, 1, control.Options{MaxServers: 3})
	handler := c.members[0].control.Handlers()[wire.MethodAnnounce]
	refused := 0
	for i := range 5 {
		in := wire.Announce{Announcement: announcement(fmt.Sprint("stranger-", i), 1)}
		if _, err := handler(context.Background(), mustJSON(t, in)); err != nil {
			refused++
		}
	}
	if refused != 2 || len(c.members[0].control.Servers()) != 3 {
		t.Errorf("got %d refused and %d listed, want 2 and 3", refused, len(c.members[0].control.Servers()))
	}
}

// An unknown process must not be able to grow the table of daemons with oversized
// watches, or delay every operator's wait with a long lease.
func TestWatchesBounded(t *testing.T) {
	c := newCluster(t, 1, control.Options{})
	handler := c.members[0].control.Handlers()[wire.MethodWatch]
	long := strings.Repeat("x", 300)
	for _, in := range []wire.Watch{
		{},
		{Daemon: long},
		{Daemon: "d", Server: long},
		{Daemon: "d", Freshness: freshness.State{Reason: long}},
		{Daemon: "d", Lease: 2 * time.Hour},
	} {
		if _, err := handler(context.Background(), mustJSON(t, in)); err == nil {
			t.Errorf("%+v was accepted", in)
		}
	}
}
