package mesh

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/rpc"
)

// meshWithPeers returns a Mesh that is not running and knows the given number of other processes.
func meshWithPeers(others int) *Mesh {
	m := New(Options{Self: Process{Name: "self", Address: "self:1", Started: 1, Entry: true}}, NewDocuments(decode, zap.NewNop()), zap.NewNop())
	m.ctx = context.Background()
	m.options.Self.Entry = false
	for i := range others {
		m.updateDirect(Process{Name: fmt.Sprint("p", i), Address: fmt.Sprintf("p%d:1", i), Entry: true, Started: 1}, time.Now())
	}
	m.options.Self.Entry = true
	return m
}

// The log has no leader for a minute. Processes that wait for a proof must not overload its members with requests: the
// longer the outage lasts and the more processes there are, the fewer requests each may send.
func TestProofRetriesBackOff(t *testing.T) {
	countRounds := func(processes int) (early, late int) {
		synctest.Test(t, func(t *testing.T) {
			m := meshWithPeers(processes - 1)
			start := time.Now()
			m.prover.round = func() bool {
				if time.Since(start) < 30*time.Second {
					early++
				} else {
					late++
				}
				return false
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			m.confirmConfig(ctx)
			time.Sleep(time.Minute)
		})
		return early, late
	}
	smallEarly, smallLate := countRounds(8)
	largeEarly, largeLate := countRounds(400)
	if smallEarly < 10 || 2*smallLate > smallEarly {
		t.Errorf("one of 8 processes tried %d times in the first 30 s and %d times in the next", smallEarly, smallLate)
	}
	if limit := int(30 * proofBackoff.Rate); 400*largeEarly > 2*limit || 400*largeLate > 2*limit || largeEarly >= smallEarly {
		t.Errorf("one of 400 processes tried %d times in the first 30 s and %d times in the next; limit for all together: %d per 30 s", largeEarly, largeLate, limit)
	}
}

// If each request for a proof opens a connection of its own, a member that answers late accumulates thousands of them.
func TestCallsShareOneConnection(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &countingListener{Listener: plain}
	var served atomic.Int64
	server := rpc.NewServer(map[string]rpc.Handler{methodConfirm: func(context.Context, json.RawMessage) (any, error) {
		served.Add(1)
		return nil, errUnproven
	}})
	go func() { _ = server.Serve(t.Context(), listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	m := meshWithPeers(0)
	m.options.Self.Entry = false
	m.updateDirect(Process{Address: listener.Addr().String(), Entry: true, Disk: true, Cluster: "c", Started: 1}, time.Now())
	t.Cleanup(m.closePeers)
	const requests = 20
	for range requests {
		if m.requestProof(t.Context()) {
			t.Fatal("requestProof succeeded at a member that found no proof")
		}
	}
	// On a busy machine a connection may open later than its request waits for it. Such a request does not come.
	missing := requests - served.Load()
	if got := listener.accepted.Load(); got < 1 || got > 1+missing {
		t.Errorf("%d requests, of which %d came, opened %d connections, want 1, and at most 1 for each that did not come", requests, requests-missing, got)
	}
}

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

// A process is too busy to handle greetings in time. Greetings whose senders have given up must not queue up.
func TestConcurrentGreetingIsRejected(t *testing.T) {
	m := meshWithPeers(3)
	in := greeting{From: Process{Address: "p0:1", Entry: true, Started: 1}}
	m.mu.Lock()
	first := make(chan error, 1)
	go func() {
		_, err := m.handleSync(t.Context(), in)
		first <- err
	}()
	eventually(t, func() bool {
		_, busy := m.syncing.Load(in.From.Address)
		return busy
	})
	if _, err := m.handleSync(t.Context(), in); !errors.Is(err, errGreetingInProgress) {
		t.Errorf("concurrent greeting returned %v, want errGreetingInProgress", err)
	}
	m.mu.Unlock()
	if err := <-first; err != nil {
		t.Error(err)
	}
	if _, err := m.handleSync(t.Context(), in); err != nil {
		t.Error(err)
	}
}

// In a large fleet some process is always restarting, so that no two processes know exactly the same. The number of
// process descriptions sent per greeting must not grow with the size of the fleet, or entries have no time for other
// work.
func TestFullListsAreRateLimited(t *testing.T) {
	const others, duration = 240, time.Minute
	synctest.Test(t, func(t *testing.T) {
		m := meshWithPeers(others)
		from := Process{Address: "p0:1", Entry: true, Started: 1}
		var cursor listCursor
		sent, restarts := 0, 0
		for start := time.Now(); time.Since(start) < duration; time.Sleep(syncInterval) {
			restarts++
			restarted := Process{Name: "p9", Address: "p9:1", Entry: true, Started: int64(1 + restarts)}
			m.updateDirect(restarted, time.Now())
			reply, err := m.handleSync(t.Context(), greeting{From: from, Digest: 1, Cursor: cursor})
			if err != nil {
				t.Fatal(err)
			}
			found := false
			for _, p := range reply.Known {
				found = found || p.Address == restarted.Address && p.Started == restarted.Started
			}
			if !found {
				t.Fatalf("restart %d is missing from the reply", restarts)
			}
			sent, cursor = sent+len(reply.Known), reply.Cursor
		}
		fullLists := int(duration/(others*fullListInterval)) + 1
		if limit := fullLists*(others+2) + 3*restarts; sent > limit {
			t.Errorf("%d process descriptions were sent in %d greetings, want at most %d", sent, restarts, limit)
		}
	})
}

// A cursor into the list of another incarnation is not valid for this incarnation's list.
func TestFullListAfterIncarnationChange(t *testing.T) {
	m := meshWithPeers(5)
	all, cursor := m.knownSince(listCursor{})
	if len(all) != 6 {
		t.Fatalf("%d processes are listed without a cursor, want 6", len(all))
	}
	if again, _ := m.knownSince(cursor); len(again) != 1 {
		t.Errorf("%d processes are listed after the cursor, want 1", len(again))
	}
	if other, _ := m.knownSince(listCursor{Incarnation: cursor.Incarnation + 1, Change: cursor.Change}); len(other) != 6 {
		t.Errorf("%d processes are listed for another incarnation's cursor, want 6", len(other))
	}
}
