package gateway

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/credit"
	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/sharedlimit"
	"github.com/rosemarypass/rosemarypass/internal/upstream"
)

// newRatedServers returns servers of one service, all of which name a rate.
func newRatedServers(tb testing.TB, count int, rate float64) (*servers, []*server) {
	tb.Helper()
	m := mesh.New(mesh.Options{Self: mesh.Process{Address: "127.0.0.1:1", Entry: true}}, mesh.NewDocuments(decodeRoute, zap.NewNop()), zap.NewNop())
	turns := sharedlimit.New(sharedlimit.ServerRates, credit.ServerOptions(), m, sharedlimit.ServerRateLimits(m), zap.NewNop())
	s := newServers(Options{DataCentre: "d", Turns: turns}, m, upstream.NewPool(time.Second, upstream.NewMemory(0)), zap.NewNop())
	var list []*server
	for i := range count {
		v := newServer(roster.Entry{Server: roster.Server{ID: fmt.Sprint("s", i), Born: 1, DataCentre: "d", Service: "desk"}}, nil)
		m.RateNamed(v.life(), rate)
		list = append(list, v)
	}
	s.byService = map[string][]*server{"desk": list}
	return s, list
}

// Guards against the turn of a request that has reached one server and is given back when another cannot be reached.
func TestTurnOfASentRequestIsNotGivenBack(t *testing.T) {
	s, list := newRatedServers(t, 1, 1)
	x := &exchange{Gateway: &Gateway{servers: s, mesh: s.mesh, options: s.options}, turn: list[0]}
	unrated := newServer(roster.Entry{Server: roster.Server{ID: "other", Born: 1}}, nil)
	if !x.takeTurn(unrated) {
		t.Error("a server without a rate was denied")
	}
	if x.turn != nil {
		t.Errorf("the turn at %s would be given back", x.turn.entry().ID)
	}
}

// Guards against requests that count as waiting for a turn after they have got it, or have gone elsewhere.
func TestAwaitedTurnEndsOnce(t *testing.T) {
	s, list := newRatedServers(t, 1, 1)
	x := &exchange{Gateway: &Gateway{servers: s, mesh: s.mesh, options: s.options}}
	x.awaitTurnAt(list[0])
	if list[0].awaiting != 1 {
		t.Fatalf("%d await a turn, want 1", list[0].awaiting)
	}
	x.endAwait()
	x.endAwait()
	if list[0].awaiting != 0 {
		t.Errorf("%d await a turn, want 0", list[0].awaiting)
	}
}

// Guards against less urgent requests that take the turns for which more urgent ones were refused.
func TestRefusedRanksGoBeforeLessUrgentOnes(t *testing.T) {
	at := time.Unix(1000, 0)
	var s shortage
	s.add(2, at)
	s.add(1, at.Add(100*time.Millisecond))
	s.add(3, at.Add(200*time.Millisecond))
	for _, c := range []struct {
		rank  int
		after time.Duration
		yield bool
	}{{0, 300 * time.Millisecond, false}, {1, 300 * time.Millisecond, false}, {2, 300 * time.Millisecond, true}, {2, 1200 * time.Millisecond, false}} {
		if got := s.servesLess(c.rank, at.Add(c.after)); got != c.yield {
			t.Errorf("rank %d after %s yields %v, want %v", c.rank, c.after, got, c.yield)
		}
	}
	if (*shortage)(nil).servesLess(9, at) {
		t.Error("a service without a shortage has one")
	}
}

// Guards against more requests that wait for a server's turns than those that the rate lets come at once.
func TestTurnIsExpectedBehindThoseThatWait(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := credit.OfServer(2)
	for _, c := range []struct {
		name     string
		standing credit.Standing
		awaiting int
		want     time.Duration
	}{
		{"no limit", credit.Standing{}, 9, 0},
		{"credit is there", credit.Standing{Limit: limit, Level: 2}, 1, 0},
		{"none asked for yet", credit.Standing{Limit: limit}, 0, 0},
		{"denied", credit.Standing{Limit: limit, DeniedUntil: now.Add(300 * time.Millisecond)}, 0, 300 * time.Millisecond},
		{"others wait", credit.Standing{Limit: limit}, 2, 500 * time.Millisecond},
	} {
		if got := expected(&c.standing, c.awaiting, now).Sub(now); max(got, 0) != c.want {
			t.Errorf("%s: expected after %s, want %s", c.name, got, c.want)
		}
	}
}

// BenchmarkChooseAmongRated is one choice among 117 plain servers that all name a rate.
func BenchmarkChooseAmongRated(b *testing.B) {
	s, _ := newRatedServers(b, 117, 1e6)
	b.ReportAllocs()
	for b.Loop() {
		s.choose(b.Context(), &route.Service{Name: "desk"}, dispatch.Request{DataCentre: "d", Target: 800 * time.Millisecond}, "", &lineage{})
	}
}
