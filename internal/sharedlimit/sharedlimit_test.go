package sharedlimit

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/credit"
	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

const (
	testRate = 20_000.0
	// hop is the time that a message takes to another entry.
	hop = 2 * time.Millisecond
)

var testTeam = &route.Team{Name: "hall", Unit: route.UnitTokens, Limit: credit.Limit{Rate: testRate, Burst: testRate}}

// network connects the limits of several entries.
type network struct {
	t     *testing.T
	mu    sync.Mutex
	limit credit.Limit
	nodes []*node
}

// node is one entry.
type node struct {
	*network
	name   string
	limits *Limits
	stop   context.CancelFunc
	// down is set while the entry answers nobody, calls counts the calls that it got.
	down  bool
	calls int
}

func (n *node) Self() mesh.Process { return mesh.Process{Name: n.name, Address: n.name, Entry: true} }
func (n *node) Connected() bool    { return true }
func (n *node) Ready() bool        { return true }

func (n *node) Known() []mesh.Process {
	known := []mesh.Process{n.Self()}
	for _, other := range n.nodes {
		if other != n {
			known = append(known, other.Self())
		}
	}
	return known
}

func (n *node) Call(ctx context.Context, address, method string, in, out any) error {
	if method != wire.MethodExchangeCredit {
		return errors.Errorf("method %s is not known", method)
	}
	for _, other := range n.nodes {
		n.mu.Lock()
		down, limits := other.down, other.limits
		other.calls++
		n.mu.Unlock()
		if other.name != address {
			continue
		}
		if down || limits == nil {
			<-ctx.Done()
			return ctx.Err()
		}
		time.Sleep(hop)
		reply, err := limits.handleExchange(ctx, in.(wire.CreditExchange))
		time.Sleep(hop)
		*out.(*wire.CreditReply) = reply
		return err
	}
	return errors.New("no such entry")
}

// start begins an incarnation of an entry.
func (n *node) start() {
	decode := func([]byte) (*route.Document, error) {
		team := *testTeam
		n.mu.Lock()
		team.Limit = n.limit
		n.mu.Unlock()
		return &route.Document{Version: 1, HasTeams: true, Teams: []route.Team{team, {Name: "unlimited"}}}, nil
	}
	documents := mesh.NewDocuments(decode, zap.NewNop())
	documents.Apply(document.State{Index: 1, Version: 1, Body: json.RawMessage("{}")}, "test")
	documents.Confirm()
	ctx, stop := context.WithCancel(n.t.Context())
	limits := New(Teams, credit.Options{Window: 8 * time.Second, OverRatio: 0.1, OverUnits: 11_000}, n, TeamLimits(documents), zap.NewNop())
	n.mu.Lock()
	n.limits, n.stop = limits, stop
	n.mu.Unlock()
	go limits.Run(ctx)
}

// play starts entries in virtual time, and stops them after f.
func play(t *testing.T, entries int, f func(t *testing.T, w *network)) {
	t.Helper()
	playWith(t, entries, testTeam.Limit, f)
}

func playWith(t *testing.T, entries int, limit credit.Limit, f func(t *testing.T, w *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &network{t: t, limit: limit}
		for i := range entries {
			w.nodes = append(w.nodes, &node{network: w, name: fmt.Sprint("entry-", i)})
		}
		for _, n := range w.nodes {
			n.start()
		}
		time.Sleep(5 * time.Second)
		f(t, w)
		for _, n := range w.nodes {
			n.stop()
		}
		time.Sleep(time.Second)
	})
}

// Guards against requests that are refused although others have left their team's limit unused, and against a wait for them.
func TestBurstAtOneEntryUsesTheCreditOfAll(t *testing.T) {
	play(t, 9, func(t *testing.T, w *network) {
		var requests sync.WaitGroup
		began := time.Now()
		for range 10 {
			requests.Go(func() {
				if d := w.nodes[3].limits.Admit(t.Context(), testTeam.Name, 1500); !d.Admitted {
					t.Errorf("refused, with %+v", d)
				}
			})
		}
		requests.Wait()
		if took := time.Since(began); took > 2*exchangeTimeout {
			t.Errorf("admitting took %s", took)
		}
	})
}

// Guards against a refusal that is late, or that says to come back when the limit does not cover the request.
func TestRefusalSaysWhenTheLimitCovers(t *testing.T) {
	play(t, 9, func(t *testing.T, w *network) {
		limits := w.nodes[3].limits
		var d Decision
		for d.Admitted = true; d.Admitted; {
			d = limits.Admit(t.Context(), testTeam.Name, 1500)
		}
		began := time.Now()
		d = limits.Admit(t.Context(), testTeam.Name, 1500)
		if took := time.Since(began); d.Admitted || took > 0 {
			t.Errorf("a request beyond the limit was answered after %s, admitted: %t", took, d.Admitted)
		}
		time.Sleep(d.RetryAfter + 50*time.Millisecond)
		if again := limits.Admit(t.Context(), testTeam.Name, 1500); !again.Admitted {
			t.Errorf("refused again after %s, with %+v", d.RetryAfter, again)
		}
	})
}

// Guards against callers that are refused for long because the entry that keeps their pool is gone.
func TestKeeperThatIsGoneIsReplaced(t *testing.T) {
	play(t, 9, func(t *testing.T, w *network) {
		first := w.nodes[0].limits
		first.mu.Lock()
		host := first.hostOf(poolOf(testTeam.Name), time.Now())
		first.mu.Unlock()
		var other *node
		w.mu.Lock()
		for _, n := range w.nodes {
			n.down = n.name == host
			if !n.down && other == nil {
				other = n
			}
		}
		w.mu.Unlock()
		admitted := 0
		// The entry that is gone took what the pool held with it.
		time.Sleep(time.Second)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if other.limits.Admit(t.Context(), testTeam.Name, 1000).Admitted {
				admitted++
			}
		}
		if admitted < 45 {
			t.Errorf("%d of 50 requests were admitted at half of the limit, while the first host is gone", admitted)
		}
	})
}

// Guards against a team that gets its limit again with each restart of all entries.
func TestRestartOfAllGrantsNothing(t *testing.T) {
	play(t, 9, func(t *testing.T, w *network) {
		began, tokens := time.Now(), 0.0
		for restart := range 5 {
			for range 200 {
				n := w.nodes[restart%len(w.nodes)]
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				if n.limits.Admit(ctx, testTeam.Name, 1500).Admitted {
					tokens += 1500
				}
				cancel()
				time.Sleep(5 * time.Millisecond)
			}
			for _, n := range w.nodes {
				n.stop()
				n.start()
			}
		}
		window := time.Since(began).Seconds()
		if allowed := (testRate*window+testRate)*1.1 + 11_000; tokens > allowed {
			t.Errorf("%.0f tokens ran in %.1f s, allowed are %.0f", tokens, window, allowed)
		}
	})
}

// Guards against callers below their limit who are refused because their entry, or all of them, have just started.
func TestEntryThatHasStartedRefusesNobody(t *testing.T) {
	play(t, 9, func(t *testing.T, w *network) {
		for _, n := range w.nodes {
			n.stop()
			n.start()
		}
		var requests sync.WaitGroup
		for i := range 40 {
			requests.Go(func() {
				if d := w.nodes[i%len(w.nodes)].limits.Admit(t.Context(), testTeam.Name, 200); !d.Admitted {
					t.Errorf("request %d was refused, with %+v", i, d)
				}
			})
			time.Sleep(25 * time.Millisecond)
		}
		requests.Wait()
	})
}

// Guards against exchanges for teams that nobody uses.
func TestIdleTeamsCostLittle(t *testing.T) {
	play(t, 9, func(t *testing.T, w *network) {
		total := func() (calls int) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, n := range w.nodes {
				calls += n.calls
			}
			return calls
		}
		time.Sleep(5 * time.Second)
		before := total()
		const seconds = 10
		time.Sleep(seconds * time.Second)
		// Each call is counted at every entry up to the one that it goes to.
		if rate := float64(total()-before) / seconds / 9; rate > 9*poolCount*5 {
			t.Errorf("%.0f calls a second among 9 entries whose teams are idle", rate)
		}
	})
}

// Guards against a limit for a team that has none.
func TestTeamWithoutLimitIsAdmitted(t *testing.T) {
	play(t, 3, func(t *testing.T, w *network) {
		if d := w.nodes[0].limits.Admit(t.Context(), "unlimited", 1e9); !d.Admitted {
			t.Errorf("refused, with %+v", d)
		}
	})
}
