package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

// quiesce ends every request and lets each holder reach the owner for a while.
func (w *world) quiesce() {
	for _, h := range w.holders {
		for len(h.admitted)+len(h.queued) > 0 {
			for id := range h.admitted {
				h.Settle(w.now, id, Use{Tokens: -1})
			}
			for id := range h.queued {
				h.Cancel(w.now, contractID, id)
			}
		}
	}
	for range 24 {
		w.now = w.now.Add(idleInterval)
		w.owner.Expire(w.now)
		for _, h := range w.holders {
			h.Tick(w.now)
			h.Reply(w.now, w.owner.Renew(w.now, h.Renewal(w.now, true)))
		}
	}
}

// After any schedule of losses, when nobody uses the contract any more, nothing
// of it stays taken. Otherwise a customer would lose a part of what it pays for
// with each lost message, for as long as the entry runs.
func TestNothingStaysTakenAfterTheLastRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.now = w.now.Add(time.Minute)
		for range rapid.IntRange(20, 100).Draw(t, "steps") {
			w.step()
		}
		w.quiesce()
		for id, l := range w.owner.ledgers {
			if taken := l.outstanding(); taken != (Share{}) {
				t.Fatalf("%s: %v is taken by %d holders", id, taken, len(l.lines))
			}
		}
		for _, h := range w.holders {
			if h.InUse() > 0 || len(h.queued) > 0 || len(h.admitted) > 0 {
				t.Fatalf("%s keeps %d accounts, %d queued, %d admitted", h.name, h.InUse(), len(h.queued), len(h.admitted))
			}
		}
	})
}

// An entry restarts while an answer to it is under way. The new process counts
// its renewals from 1 again.
func TestHolderIgnoresAnswersToItsPredecessor(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	h := NewHolder(DefaultOptions(), "entry", 2)
	h.Ask(now, Request{ID: 1, Contract: agreement("a", 50, 6000, 10), Tokens: 1})
	r := h.Renewal(now, true)
	h.Reply(now, Reply{Incarnation: 1, Number: r.Number, Epoch: 1, Accepted: true, Grants: []Grant{{Contract: "a", Share: Share{1, 1, 1, 1, 1}}}})
	if h.Leased(now) {
		t.Error("the holder took an answer to its predecessor")
	}
}

// A new owner hears of one contract in a partial renewal. Accepted, it would
// prolong the entry's lease on others that the owner does not count.
func TestOwnerAsksAStrangerForEverything(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	agreed := agreement("a", 50, 6000, 10)
	owner := NewOwner(DefaultOptions(), Tenure{Epoch: 2, Began: now.Add(-time.Hour)}, func(string) (contract.Contract, bool) { return agreed, true })
	h := NewHolder(DefaultOptions(), "entry", 1)
	h.full = false
	h.Ask(now, Request{ID: 1, Contract: agreed, Tokens: 1})
	reply := owner.Renew(now, h.Renewal(now, false))
	if reply.Accepted || !reply.Full {
		t.Fatalf("got %+v", reply)
	}
	h.Reply(now, reply)
	if !h.Urgent(now) {
		t.Fatal("the holder does not ask again")
	}
	full := h.Renewal(now, false)
	if actions := h.Reply(now, owner.Renew(now, full)); !full.Full || len(actions) != 1 {
		t.Errorf("the full renewal brought %v", actions)
	}
}

// What lies in a bucket must go with the capacity that a grant takes away.
func TestCutShareCutsItsContent(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	h := NewHolder(DefaultOptions(), "entry", 1)
	h.Ask(now, Request{ID: 1, Contract: agreement("a", 9, 6000, 10), Tokens: 1})
	grant := func(share Share, credit Credit) {
		r := h.Renewal(now, true)
		h.Reply(now, Reply{Incarnation: 1, Number: r.Number, Epoch: 1, Accepted: true, Grants: []Grant{{Contract: "a", Share: share, Credit: credit}}})
	}
	grant(Share{0, 0, 0.5, 0.5, 1}, Credit{0.9, 0.9})
	a := h.accounts["a"]
	if a.level[requestBucket] != 0.5*10-1 {
		t.Errorf("the level is %v", a.level)
	}
	grant(Share{0, 0, 0.1, 0.1, 1}, Credit{})
	if a.level[requestBucket] > 1 || a.level[tokenBucket] > 600 {
		t.Errorf("after the cut the level is %v", a.level)
	}
}

// Two slots, four entries with a queue each. An entry that ends a request could
// give its slot to its own next one for ever, while requests at the others wait
// until they are refused.
func TestSlotsGoRoundAmongEntries(t *testing.T) {
	agreed := agreement("a", 1000, 1<<40, 2)
	sim := simulate(scenario{entries: 4, agreed: []contract.Contract{agreed}, rate: 40, tokens: 10, run: 100 * time.Millisecond, seconds: 40})
	t.Logf("admitted by entry: %v", sim.admittedBy)
	for i := range 4 {
		if sim.admittedBy[i] < sim.admitted/8 {
			t.Errorf("entry %d admitted %d of %d", i, sim.admittedBy[i], sim.admitted)
		}
	}
	if sim.admitted < 400 {
		t.Errorf("%d requests of 100 ms on 2 slots in 40 s", sim.admitted)
	}
}

// One request needs half a minute's tokens; many small ones come all the time.
// Served as they come, the small ones would use up what the large one waits for.
func TestLargeRequestIsNotStarvedBySmallOnes(t *testing.T) {
	agreed := agreement("a", 1000, 60_000, 1000)
	agreed.Limits.MaxWait = 10 * time.Minute
	var large RequestID
	sim := simulate(scenario{
		entries: 4, agreed: []contract.Contract{agreed}, weights: []float64{0, 0.3, 0.3, 0.4}, rate: 40, tokens: 50, run: 50 * time.Millisecond, seconds: 200,
		at: map[int]func(*simulation){
			40: func(s *simulation) {
				s.nextID++
				large = s.nextID
				s.act(0, s.holders[0].Ask(s.now, Request{ID: large, Contract: agreed, Tokens: 30_000}))
			},
		},
	})
	if at, ok := sim.admittedID[large]; !ok {
		t.Error("the large request was not admitted in 160 s")
	} else {
		t.Logf("the large request was admitted after %v", at.Sub(time.Unix(1_000_040, 0)))
	}
}

// So many control processes are stopped that no leader can be elected, for ten
// seconds. Nobody can lease the shares to another entry, so the entries go on
// with them; and the owner that comes then must not lease them a second time.
func TestSharesGoOnWhileNoOwnerCanExist(t *testing.T) {
	at := map[int]func(*simulation){
		40: func(s *simulation) { s.down = false; s.newOwner(s.now) },
	}
	for second := 30; second < 40; second++ {
		at[second] = func(s *simulation) {
			s.down = true
			for _, h := range s.holders {
				h.Extend(s.now, s.now.Add(h.options.Lease))
			}
		}
	}
	sim := overload(at)
	during := sum(sim.admittedAt[30:43])
	t.Logf("admitted %v from the loss until 3 s after the return", sim.admittedAt[30:43])
	if during < 13*50*3/4 {
		t.Errorf("%d admitted in 13 s of 50 a second", during)
	}
	if allowed := ideal(sim.agreed[0].Limits, 10, 60); float64(sim.admitted) > allowed {
		t.Errorf("admitted %d, %v allowed", sim.admitted, allowed)
	}
}

// The lease has run out before the entry learns that no owner can exist. What
// it held may have been leased to others in between.
func TestExtensionRevivesNothing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	h := NewHolder(DefaultOptions(), "entry", 1)
	h.Extend(now, now.Add(time.Hour))
	if h.Leased(now) {
		t.Error("a holder without a lease got one")
	}
	h.Ask(now, Request{ID: 1, Contract: agreement("a", 9, 6000, 10), Tokens: 1})
	r := h.Renewal(now, true)
	h.Reply(now, Reply{Incarnation: 1, Number: r.Number, Epoch: 1, Accepted: true, Grants: []Grant{{Contract: "a", Share: Share{0, 0, 1, 1, 1}}}})
	now = now.Add(h.options.Lease)
	h.Extend(now, now.Add(time.Hour))
	h.Tick(now)
	if h.Leased(now) || h.accounts["a"].share != (Share{}) {
		t.Error("a lease that had run out was prolonged")
	}
}

// Control is gone and a customer sends a request now and then. The credit for it
// lies with the owner, so it is refused; but the customer has reached no limit,
// and must not be told so.
func TestNoClauseIsBlamedWithoutAnOwner(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	h := NewHolder(DefaultOptions(), "entry", 1)
	agreed := agreement("a", 9, 6000, 10)
	h.Ask(now, Request{ID: 1, Contract: agreed, Tokens: 1})
	r := h.Renewal(now, true)
	h.Reply(now, Reply{Incarnation: 1, Number: r.Number, Epoch: 1, Accepted: true, Grants: []Grant{
		{Contract: "a", Share: Share{0, 0, 0.1, 0.1, 0.2}, Credit: Credit{0.1, 0.1}},
	}})
	h.Extend(now, now.Add(time.Hour))
	now = now.Add(3 * time.Second)
	if actions := h.Ask(now, Request{ID: 2, Contract: agreed, Tokens: 1}); len(actions) != 0 {
		t.Fatalf("got %v", actions)
	}
	now = now.Add(agreed.Limits.MaxWait)
	actions := h.Tick(now)
	if len(actions) != 1 {
		t.Fatalf("got %v", actions)
	}
	if refused, ok := actions[0].(Refuse); !ok || refused.Cause != CauseNoLease {
		t.Errorf("got %+v", actions[0])
	}
}
