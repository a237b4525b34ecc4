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

// knowing returns a process, which does not run, that knows so many others.
func knowing(others int) *Mesh {
	m := New(Options{Self: Process{Name: "self", Address: "self:1", Started: 1, Entry: true}}, NewDocuments(decode, zap.NewNop()), zap.NewNop())
	m.ctx = context.Background()
	m.options.Self.Entry = false
	for i := range others {
		m.learn(Process{Name: fmt.Sprint("p", i), Address: fmt.Sprintf("p%d:1", i), Entry: true, Started: 1}, time.Now())
	}
	m.options.Self.Entry = true
	return m
}

// A log has no leader for a minute. Those who wait for a proof must not keep its members busy with their questions: the
// longer it lasts and the more they are, the less each may ask.
func TestAProcessWithoutAProofTriesEverMoreSeldom(t *testing.T) {
	tries := func(processes int) (early, late int) {
		synctest.Test(t, func(t *testing.T) {
			m := knowing(processes - 1)
			began := time.Now()
			m.prover.round = func() bool {
				if time.Since(began) < 30*time.Second {
					early++
				} else {
					late++
				}
				return false
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			m.seekProof(ctx)
			time.Sleep(time.Minute)
		})
		return early, late
	}
	fewEarly, fewLate := tries(8)
	manyEarly, manyLate := tries(400)
	if fewEarly < 10 || 2*fewLate > fewEarly {
		t.Errorf("one of 8 tried %d times in half a minute and then %d times", fewEarly, fewLate)
	}
	if most := int(30 * proofTries.Rate); 400*manyEarly > 2*most || 400*manyLate > 2*most || manyEarly >= fewEarly {
		t.Errorf("one of 400 tried %d times in half a minute and then %d times; all together may %d times", manyEarly, manyLate, most)
	}
}

// Each question for a proof opened a connection of its own, and a member that answered late had thousands.
func TestQuestionsToAProcessShareAConnection(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &countingListener{Listener: plain}
	server := rpc.NewServer(map[string]rpc.Handler{methodConfirm: func(context.Context, json.RawMessage) (any, error) { return nil, errUnproven }})
	go func() { _ = server.Serve(t.Context(), listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	m := knowing(0)
	m.options.Self.Entry = false
	m.learn(Process{Address: listener.Addr().String(), Entry: true, Disk: true, Cluster: "c", Started: 1}, time.Now())
	t.Cleanup(m.closePeers)
	for range 20 {
		if m.askProof(t.Context()) {
			t.Fatal("a member that found no proof has given one")
		}
	}
	if got := listener.accepted.Load(); got != 1 {
		t.Errorf("20 questions opened %d connections", got)
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

// A process is too busy to take greetings in time. Those whose senders have given them up must not pile up before it.
func TestGreetingsOfOneProcessDoNotPileUp(t *testing.T) {
	m := knowing(3)
	again := greeting{From: Process{Address: "p0:1", Entry: true, Started: 1}}
	m.mu.Lock()
	first := make(chan error, 1)
	go func() {
		_, err := m.takeGreeting(t.Context(), again)
		first <- err
	}()
	eventually(t, func() bool {
		_, taking := m.taking.Load(again.From.Address)
		return taking
	})
	if _, err := m.takeGreeting(t.Context(), again); !errors.Is(err, errGreetedTwice) {
		t.Errorf("a second greeting ended with %v while the first one waited", err)
	}
	m.mu.Unlock()
	if err := <-first; err != nil {
		t.Error(err)
	}
	if _, err := m.takeGreeting(t.Context(), again); err != nil {
		t.Error(err)
	}
}

// In a large fleet somebody always restarts, so that no two know quite the same. What is told of all the others must
// not grow with their number for each greeting: entries had time for nothing else.
func TestListsOfALargeFleetAreToldSeldomAndChangesAtOnce(t *testing.T) {
	const others, lasts = 240, time.Minute
	synctest.Test(t, func(t *testing.T) {
		m := knowing(others)
		from := Process{Address: "p0:1", Entry: true, Started: 1}
		var heard heardList
		told, changes := 0, 0
		for began := time.Now(); time.Since(began) < lasts; time.Sleep(syncInterval) {
			changes++
			restarted := Process{Name: "p9", Address: "p9:1", Entry: true, Started: int64(1 + changes)}
			m.learn(restarted, time.Now())
			reply, err := m.takeGreeting(t.Context(), greeting{From: from, Digest: 1, Heard: heard})
			if err != nil {
				t.Fatal(err)
			}
			found := false
			for _, p := range reply.Known {
				found = found || p.Address == restarted.Address && p.Started == restarted.Started
			}
			if !found {
				t.Fatalf("the restart %d is not told", changes)
			}
			told, heard = told+len(reply.Known), reply.Heard
		}
		whole := int(lasts/(others*listPause)) + 1
		if most := whole*(others+2) + 3*changes; told > most {
			t.Errorf("%d descriptions were told with %d greetings, %d is the most", told, changes, most)
		}
	})
}

// Somebody who heard another incarnation's list knows nothing of this one's.
func TestAListIsToldWholeToWhoHeardAnotherIncarnation(t *testing.T) {
	m := knowing(5)
	all, heard := m.knownSince(heardList{})
	if len(all) != 6 {
		t.Fatalf("%d processes are told, 6 are known", len(all))
	}
	if again, _ := m.knownSince(heard); len(again) != 1 {
		t.Errorf("%d processes are told again", len(again))
	}
	if other, _ := m.knownSince(heardList{Of: heard.Of + 1, Change: heard.Change}); len(other) != 6 {
		t.Errorf("%d processes are told to one who heard another incarnation, 6 are known", len(other))
	}
}
