package mesh

import (
	"context"
	"encoding/json"
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
