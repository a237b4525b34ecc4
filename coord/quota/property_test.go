package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

const contractID = "dabke"

// revision is one state of the contract and the time during which anybody goes by it.
type revision struct {
	agreed      contract.Contract
	from, until time.Time
}

// use is a change of what is charged to the contract.
type use struct {
	at time.Time
	c  cost
}

// message is a renewal or a reply under way; a copy may arrive at any time.
type message struct {
	renewal *Renewal
	reply   *Reply
	holder  int
}

// world runs holders and owners under a schedule that rapid chooses.
type world struct {
	t         *rapid.T
	now       time.Time
	holders   []*Holder
	known     []int
	ownerKnow int
	revisions []*revision
	owner     *Owner
	epoch     uint64
	messages  []message
	running   []map[RequestID]cost
	uses      []use
	nextID    RequestID
	// ownerChanged is true once a second owner has begun.
	ownerChanged bool
}

func limits(t *rapid.T) contract.Limits {
	return contract.Limits{
		RequestsPerSecond: rapid.Float64Range(0.5, 40).Draw(t, "rate"),
		TokensPerMinute:   rapid.Int64Range(100, 20_000).Draw(t, "tokens"),
		Concurrency:       rapid.IntRange(1, 12).Draw(t, "slots"),
		MaxWait:           rapid.SampledFrom([]time.Duration{10 * time.Millisecond, 2 * time.Second, 10 * time.Second, time.Minute}).Draw(t, "wait"),
	}
}

func testOptions() Options {
	o := DefaultOptions()
	o.SlotHold = time.Hour
	return o
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1_000_000, 0)}
	w.change()
	for i := range 3 {
		w.holders = append(w.holders, NewHolder(testOptions(), fmt.Sprint("entry-", i), 1))
		w.running = append(w.running, make(map[RequestID]cost))
		w.known = append(w.known, 0)
	}
	w.succeed()
	w.ownerChanged = false
	return w
}

// change accepts a new revision that nobody knows yet.
func (w *world) change() {
	n := uint64(len(w.revisions) + 1)
	agreed := contract.Contract{ID: contractID, Revision: n, Limits: limits(w.t), Share: 1}
	w.revisions = append(w.revisions, &revision{agreed: agreed, from: w.now})
}

// succeed lets a new owner begin; the old one grants no more.
func (w *world) succeed() {
	w.epoch++
	w.ownerChanged = true
	w.owner = NewOwner(testOptions(), Tenure{Epoch: w.epoch, Began: w.now}, func(string) (contract.Contract, bool) {
		return w.revisions[w.ownerKnow].agreed, true
	})
}

func (w *world) act(holder int, actions []Action) {
	for _, action := range actions {
		admit, ok := action.(Admit)
		if !ok {
			continue
		}
		r := w.holders[holder].admitted[admit.ID]
		w.running[holder][admit.ID] = r.cost
		w.uses = append(w.uses, use{w.now, r.cost})
	}
}

func (w *world) pick(name string) int { return rapid.IntRange(0, len(w.holders)-1).Draw(w.t, name) }

func (w *world) step() {
	i := w.pick("holder")
	h := w.holders[i]
	switch rapid.SampledFrom([]string{
		"ask", "ask", "ask", "ask", "renew", "renew", "renew", "renew", "renew", "renew", "settle", "settle",
		"send", "send", "deliver", "deliver", "deliver", "deliver", "pass", "pass", "pass", "pass", "pass", "drop", "lost", "restart", "owner", "change", "learn", "cancel",
	}).Draw(w.t, "event") {
	case "ask":
		for range rapid.IntRange(1, 8).Draw(w.t, "count") {
			w.nextID++
			tokens := rapid.Int64Range(0, 400).Draw(w.t, "cost")
			w.act(i, h.Ask(w.now, Request{ID: w.nextID, Contract: w.revisions[w.known[i]].agreed, Tokens: tokens}))
		}
	case "settle":
		w.settle(i)
	case "send":
		r := h.Renewal(w.now, rapid.Bool().Draw(w.t, "all"))
		w.messages = append(w.messages, message{renewal: &r, holder: i})
	case "renew":
		reply := w.owner.Renew(w.now, h.Renewal(w.now, rapid.Bool().Draw(w.t, "all")))
		w.messages = append(w.messages, message{reply: &reply, holder: i})
		w.act(i, h.Reply(w.now, reply))
	case "deliver":
		w.deliver()
	case "pass":
		w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 100, 400, 900, 2100, 2300}).Draw(w.t, "ms")) * time.Millisecond)
		w.act(i, h.Tick(w.now))
		w.owner.Expire(w.now)
	case "drop":
		if n := len(w.messages); n > 0 {
			at := rapid.IntRange(0, n-1).Draw(w.t, "message")
			w.messages = slices.Delete(w.messages, at, at+1)
		}
	case "lost":
		h.Lost()
	case "restart":
		w.holders[i] = NewHolder(testOptions(), h.name, h.incarnation+1)
		clear(w.running[i])
	case "owner":
		w.succeed()
	case "change":
		if len(w.revisions) < 4 {
			w.change()
		}
	case "learn":
		w.learn(i)
	case "cancel":
		for id := range h.queued {
			w.act(i, h.Cancel(w.now, contractID, id))
			break
		}
	}
	w.checkShares()
	w.checkOwner()
}

func (w *world) settle(i int) {
	ids := make([]RequestID, 0, len(w.running[i]))
	for id := range w.running[i] {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(w.t, "request")
	admitted := w.running[i][id]
	delete(w.running[i], id)
	outcome := Use{NotRun: rapid.Bool().Draw(w.t, "not run"), Tokens: rapid.Int64Range(0, int64(admitted[tokenBucket])).Draw(w.t, "used")}
	back := cost{0, float64(outcome.Tokens) - admitted[tokenBucket]}
	if outcome.NotRun {
		back = cost{-1, -admitted[tokenBucket]}
	}
	w.uses = append(w.uses, use{w.now, back})
	w.act(i, w.holders[i].Settle(w.now, id, outcome))
}

// deliver hands over a message, and keeps it when a copy is to arrive again.
func (w *world) deliver() {
	if len(w.messages) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.messages)-1).Draw(w.t, "message")
	m := w.messages[at]
	if !rapid.Bool().Draw(w.t, "again") {
		w.messages = slices.Delete(w.messages, at, at+1)
	}
	if m.renewal != nil {
		reply := w.owner.Renew(w.now, *m.renewal)
		w.messages = append(w.messages, message{reply: &reply, holder: m.holder})
		return
	}
	w.act(m.holder, w.holders[m.holder].Reply(w.now, *m.reply))
}

// learn brings the owner or a holder to the newest revision; they never step back.
func (w *world) learn(i int) {
	newest := len(w.revisions) - 1
	if rapid.Bool().Draw(w.t, "owner learns") {
		w.ownerKnow = newest
	} else {
		w.known[i] = newest
		w.act(i, w.holders[i].Follow(w.now, w.revisions[newest].agreed))
	}
	oldest := min(w.ownerKnow, slices.Min(w.known))
	for _, r := range w.revisions[:oldest] {
		if r.until.IsZero() {
			r.until = w.now
		}
	}
}

// checkShares asserts that what holders may use adds up to one contract.
func (w *world) checkShares() {
	var sum Share
	for _, h := range w.holders {
		h.expire(w.now)
		if a, ok := h.accounts[contractID]; ok {
			for m := range sum {
				sum[m] += a.share[m]
			}
		}
	}
	for m, total := range sum {
		if total > 1+1e-6 {
			w.t.Fatalf("holders may use %.6f of measure %d", total, m)
		}
	}
}

// checkOwner asserts that the owner, too, never counts more than one contract.
func (w *world) checkOwner() {
	if n := w.owner.OverLeased(); n > 0 {
		w.t.Fatalf("the owner counted %d grants beyond the contract", n)
	}
}

// bounds are the most generous limits that anybody went by in a period.
func (w *world) bounds(from, until time.Time) (most contract.Limits) {
	for _, r := range w.revisions {
		if r.from.After(until) || (!r.until.IsZero() && r.until.Before(from)) {
			continue
		}
		most.RequestsPerSecond = max(most.RequestsPerSecond, r.agreed.Limits.RequestsPerSecond)
		most.TokensPerMinute = max(most.TokensPerMinute, r.agreed.Limits.TokensPerMinute)
		most.Concurrency = max(most.Concurrency, r.agreed.Limits.Concurrency)
	}
	return most
}

// checkPeriods asserts the contract over every period between two events.
func (w *world) checkPeriods() {
	for i := range w.uses {
		var total cost
		for j := i; j < len(w.uses); j++ {
			from, until := w.uses[i].at, w.uses[j].at
			most := w.bounds(from, until)
			for b := range buckets {
				total[b] += w.uses[j].c[b]
				allowed := capacity(b, most) + refill(b, most)*until.Sub(from).Seconds()
				if total[b] > allowed*(1+1e-6)+1e-6 {
					w.t.Fatalf("bucket %d: %.3f used in %v, %.3f allowed", b, total[b], until.Sub(from), allowed)
				}
			}
		}
	}
}

// Messages are lost, late and doubled, entries and owners are replaced and the
// contract changes, in any order. Without leases that are counted from the
// right side, a customer would get more than its contract, at others' cost.
func TestEntriesTogetherNeverPassTheContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.now = w.now.Add(rapid.SampledFrom([]time.Duration{0, time.Second, time.Minute}).Draw(t, "age"))
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.step()
		}
		w.checkPeriods()
	})
}

// An entry is cut off from control while its requests still run. If its slots
// were leased again at the end of its lease, the customer would have more
// requests in flight than its contract allows.
func TestRequestsInFlightNeverPassTheConcurrency(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.now = w.now.Add(time.Minute)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.step()
			if w.ownerChanged {
				return
			}
			inFlight := 0
			for _, running := range w.running {
				inFlight += len(running)
			}
			if most := w.bounds(time.Time{}, w.now).Concurrency; inFlight > most {
				t.Fatalf("%d requests in flight, %d allowed", inFlight, most)
			}
		}
	})
}
