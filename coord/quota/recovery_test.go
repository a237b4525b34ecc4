package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

// quiesce ends every request and then lets each holder exchange renewals with the
// owner for several intervals.
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

// Under any schedule of lost messages, once the contract is unused all of it must be
// free again. Otherwise a customer would lose a part of its contract with each lost
// message, for as long as the entry runs.
func TestAllSharesAreFreedAfterLastRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.now = w.now.Add(time.Minute)
		for range rapid.IntRange(20, 100).Draw(t, "steps") {
			w.step()
		}
		w.quiesce()
		for id, l := range w.owner.ledgers {
			if taken := l.outstanding(); taken != (Share{}) {
				t.Fatalf("%s: %v is still held by %d holders", id, taken, len(l.allocations))
			}
		}
		for _, h := range w.holders {
			if h.InUse() > 0 || len(h.queued) > 0 || len(h.admitted) > 0 {
				t.Fatalf("%s keeps %d accounts, %d queued, %d admitted", h.name, h.InUse(), len(h.queued), len(h.admitted))
			}
		}
	})
}

// An entry restarts while a reply to it is in flight. The new process numbers its
// renewals from 1 again.
func TestHolderIgnoresRepliesToPreviousIncarnation(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	h := NewHolder(DefaultOptions(), "entry", 2)
	h.Request(now, Request{ID: 1, Contract: testContract("a", 50, 6000, 10), Tokens: 1})
	r := h.Renewal(now, true)
	h.Reply(now, Reply{Incarnation: 1, Number: r.Number, Epoch: 1, Accepted: true, Grants: []Grant{{Contract: "a", Share: Share{1, 1, 1, 1, 1}}}})
	if h.Leased(now) {
		t.Error("the holder accepted a reply to its previous incarnation")
	}
}

// A new owner gets a partial renewal that lists one contract. Accepting it would
// extend the entry's lease also on shares that the owner does not count.
func TestOwnerRequestsFullRenewalFromUnknownHolder(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	agreed := testContract("a", 50, 6000, 10)
	owner := NewOwner(DefaultOptions(), Tenure{Epoch: 2, Began: now.Add(-time.Hour)}, func(string) (contract.Contract, bool) { return agreed, true })
	h := NewHolder(DefaultOptions(), "entry", 1)
	h.full = false
	h.Request(now, Request{ID: 1, Contract: agreed, Tokens: 1})
	reply := owner.Renew(now, h.Renewal(now, false))
	if reply.Accepted || !reply.Full {
		t.Fatalf("got %+v, want a refusal that asks for a full renewal", reply)
	}
	h.Reply(now, reply)
	if !h.Urgent(now) {
		t.Fatal("the holder does not ask again")
	}
	full := h.Renewal(now, false)
	if actions := h.Reply(now, owner.Renew(now, full)); !full.Full || len(actions) != 1 {
		t.Errorf("the full renewal resulted in %v, want one action", actions)
	}
}

// When a grant reduces the capacity of a bucket, its content must be reduced too.
func TestReducedShareReducesLevel(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	h := NewHolder(DefaultOptions(), "entry", 1)
	h.Request(now, Request{ID: 1, Contract: testContract("a", 9, 6000, 10), Tokens: 1})
	grant := func(share Share, credit Credit) {
		r := h.Renewal(now, true)
		h.Reply(now, Reply{Incarnation: 1, Number: r.Number, Epoch: 1, Accepted: true, Grants: []Grant{{Contract: "a", Share: share, Credit: credit}}})
	}
	grant(Share{0, 0, 0.5, 0.5, 1}, Credit{0.9, 0.9})
	a := h.accounts["a"]
	if a.level[requestBucket] != 0.5*10-1 {
		t.Errorf("the level is %v, want 4 requests", a.level)
	}
	grant(Share{0, 0, 0.1, 0.1, 1}, Credit{})
	if a.level[requestBucket] > 1 || a.level[tokenBucket] > 600 {
		t.Errorf("after the reduction the level is %v, want at most 1 request and 600 tokens", a.level)
	}
}

// Four entries with queues share two slots. An entry must not reuse its slot for its
// own next request indefinitely, while requests at other entries wait until they
// are refused.
func TestSlotsRotateAmongEntries(t *testing.T) {
	agreed := testContract("a", 1000, 1<<40, 2)
	sim := simulate(scenario{entries: 4, agreed: []contract.Contract{agreed}, rate: 40, tokens: 10, run: 100 * time.Millisecond, seconds: 40})
	t.Logf("admitted by entry: %v", sim.admittedBy)
	for i := range 4 {
		if sim.admittedBy[i] < sim.admitted/8 {
			t.Errorf("entry %d admitted %d of %d requests, want at least an eighth", i, sim.admittedBy[i], sim.admitted)
		}
	}
	if sim.admitted < 400 {
		t.Errorf("admitted %d requests of 100 ms on 2 slots in 40 s, want at least 400", sim.admitted)
	}
}

// One request needs half a minute's tokens while many small ones keep arriving. Served
// in order of arrival, the small ones would use up the credit that the large one
// waits for.
func TestLargeRequestIsNotStarvedBySmallOnes(t *testing.T) {
	agreed := testContract("a", 1000, 60_000, 1000)
	agreed.Limits.MaxWait = 10 * time.Minute
	var large RequestID
	sim := simulate(scenario{
		entries: 4, agreed: []contract.Contract{agreed}, weights: []float64{0, 0.3, 0.3, 0.4}, rate: 40, tokens: 50, run: 50 * time.Millisecond, seconds: 200,
		at: map[int]func(*simulation){
			40: func(s *simulation) {
				s.nextID++
				large = s.nextID
				s.act(0, s.holders[0].Request(s.now, Request{ID: large, Contract: agreed, Tokens: 30_000}))
			},
		},
	})
	if at, ok := sim.admittedID[large]; !ok {
		t.Error("the large request was not admitted in 160 s")
	} else {
		t.Logf("the large request was admitted after %v", at.Sub(time.Unix(1_000_040, 0)))
	}
}

// For ten seconds too few control processes run to elect a leader. As no owner can
// lease the shares to other entries, the entries keep using them, and the next owner
// must not lease them a second time.
func TestSharesStayValidWhileNoOwnerIsPossible(t *testing.T) {
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

// The lease expires before the entry learns that no owner can exist. Its shares may
// have been leased to others in between, so the lease must not be extended.
func TestExtendDoesNotReviveExpiredLease(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	h := NewHolder(DefaultOptions(), "entry", 1)
	h.Extend(now, now.Add(time.Hour))
	if h.Leased(now) {
		t.Error("a holder without a lease got one")
	}
	h.Request(now, Request{ID: 1, Contract: testContract("a", 9, 6000, 10), Tokens: 1})
	r := h.Renewal(now, true)
	h.Reply(now, Reply{Incarnation: 1, Number: r.Number, Epoch: 1, Accepted: true, Grants: []Grant{{Contract: "a", Share: Share{0, 0, 1, 1, 1}}}})
	now = now.Add(h.options.Lease)
	h.Extend(now, now.Add(time.Hour))
	h.Tick(now)
	if h.Leased(now) || h.accounts["a"].share != (Share{}) {
		t.Error("an expired lease was extended")
	}
}

// Control is unreachable and a customer sends a request from time to time. The owner
// holds the credit for it, so the request is refused, but the customer has reached no
// limit and the refusal must not say that it has.
func TestRefusalWithoutOwnerHasCauseNoLease(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	h := NewHolder(DefaultOptions(), "entry", 1)
	agreed := testContract("a", 9, 6000, 10)
	h.Request(now, Request{ID: 1, Contract: agreed, Tokens: 1})
	r := h.Renewal(now, true)
	h.Reply(now, Reply{Incarnation: 1, Number: r.Number, Epoch: 1, Accepted: true, Grants: []Grant{
		{Contract: "a", Share: Share{0, 0, 0.1, 0.1, 0.2}, Credit: Credit{0.1, 0.1}},
	}})
	h.Extend(now, now.Add(time.Hour))
	now = now.Add(3 * time.Second)
	if actions := h.Request(now, Request{ID: 2, Contract: agreed, Tokens: 1}); len(actions) != 0 {
		t.Fatalf("got %v", actions)
	}
	now = now.Add(agreed.Limits.MaxWait)
	actions := h.Tick(now)
	if len(actions) != 1 {
		t.Fatalf("got %v", actions)
	}
	if refused, ok := actions[0].(Refuse); !ok || refused.Cause != CauseNoLease {
		t.Errorf("got %+v, want a refusal with CauseNoLease", actions[0])
	}
}
