package fairqueue

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed, so that every run has the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var begin = time.Unix(1_000_000, 0)

// referenceQueue implements the same discipline without heaps, by linear search.
type referenceQueue struct {
	options Options
	waiting []Item
	start   map[string]float64
	finish  map[string]float64
	virtual float64
}

func (n *referenceQueue) itemsOf(contract string) (items []Item, backlog float64) {
	for _, item := range n.waiting {
		if item.Contract == contract {
			items = append(items, item)
			backlog += item.Cost
		}
	}
	return items, backlog
}

func (n *referenceQueue) push(item Item) (refused ID, isRefused bool) {
	_, own := n.itemsOf(item.Contract)
	if len(n.waiting) >= n.options.Limit {
		longest, most := "", 0.0
		for _, other := range n.waiting {
			if _, backlog := n.itemsOf(other.Contract); backlog/float64(other.Share) > most {
				longest, most = other.Contract, backlog/float64(other.Share)
			}
		}
		if (own+item.Cost)/float64(item.Share) >= most {
			return item.ID, true
		}
		items, _ := n.itemsOf(longest)
		refused, isRefused = items[len(items)-1].ID, true
		n.remove(refused)
	}
	if own == 0 {
		n.start[item.Contract] = max(n.virtual, n.finish[item.Contract])
	}
	n.waiting = append(n.waiting, item)
	return refused, isRefused
}

func (n *referenceQueue) remove(id ID) {
	n.waiting = slices.DeleteFunc(n.waiting, func(item Item) bool { return item.ID == id })
	if len(n.waiting) == 0 {
		n.virtual = 0
		clear(n.finish)
	}
}

func (n *referenceQueue) pop() (Item, bool) {
	best, at := math.Inf(1), -1
	for i, item := range n.waiting {
		head := min(n.options.MaxHeadStart, n.options.HeadStart*float64(item.Priority)) / float64(item.Share)
		if items, _ := n.itemsOf(item.Contract); items[0].ID != item.ID {
			continue
		}
		if tag := n.start[item.Contract] - head; tag < best {
			best, at = tag, i
		}
	}
	if at < 0 {
		return Item{}, false
	}
	item := n.waiting[at]
	n.virtual = max(n.virtual, n.start[item.Contract])
	n.finish[item.Contract] = n.start[item.Contract] + item.Cost/float64(item.Share)
	n.start[item.Contract] = n.finish[item.Contract]
	n.remove(item.ID)
	return item, true
}

func TestOrderMatchesReferenceQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := Options{Limit: 12, HeadStart: 16, MaxHeadStart: 64}
		q := New(options)
		n := &referenceQueue{options: options, start: make(map[string]float64), finish: make(map[string]float64)}
		shares := rapid.SliceOfN(rapid.SampledFrom([]int{1, 2, 4}), 5, 5).Draw(t, "shares")
		// Costs are powers of two, so that the sums of both queues are exact.
		costs := rapid.SampledFrom([]float64{1, 2, 4, 32})
		for id := ID(1); id < 150; id++ {
			switch rapid.SampledFrom([]string{"push", "push", "pop", "remove"}).Draw(t, "event") {
			case "push":
				c := rapid.IntRange(0, 4).Draw(t, "contract")
				item := Item{ID: id, Contract: fmt.Sprint(c), Share: shares[c], Priority: c % 3, Cost: costs.Draw(t, "cost"), Deadline: begin.Add(time.Hour)}
				refusal, refused := q.Push(item, begin)
				want, wantRefused := n.push(item)
				if refused != wantRefused || refusal.Item.ID != want {
					t.Fatalf("push %d refused %d, reference %d", id, refusal.Item.ID, want)
				}
			case "pop":
				got, _ := q.Pop()
				want, _ := n.pop()
				if got.ID != want.ID {
					t.Fatalf("popped %d, reference %d", got.ID, want.ID)
				}
			case "remove":
				if len(n.waiting) > 0 {
					id := n.waiting[rapid.IntRange(0, len(n.waiting)-1).Draw(t, "waiting")].ID
					n.remove(id)
					q.Remove(id)
				}
			}
			if q.Len() != len(n.waiting) || len(q.flows) > q.Len()+len(shares) {
				t.Fatalf("%d wait, %d flows; reference %d", q.Len(), len(q.flows), len(n.waiting))
			}
		}
	})
}

// serve keeps contracts backlogged, each with its own request cost, and returns the cost
// served by contract.
func serve(shares, priorities []int, costs []float64, rounds int) []float64 {
	q := New(Options{Limit: 10_000, HeadStart: 10, MaxHeadStart: 40})
	id := ID(0)
	push := func(c int) {
		id++
		q.Push(Item{ID: id, Contract: fmt.Sprint(c), Share: shares[c], Priority: priorities[c], Cost: costs[c], Deadline: begin.Add(time.Hour)}, begin)
	}
	for c := range shares {
		push(c)
		push(c)
	}
	served := make([]float64, len(shares))
	for range rounds {
		item, _ := q.Pop()
		var c int
		_, _ = fmt.Sscan(item.Contract, &c)
		served[c] += item.Cost
		push(c)
	}
	return served
}

// In the fluid model service is exactly proportional to the shares. The queue serves
// whole requests, so it may differ by one request of either contract and by the head
// start, regardless of how long it runs.
func TestBackloggedContractsGetTheirShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "contracts")
		shares := rapid.SliceOfN(rapid.IntRange(1, 8), n, n).Draw(t, "shares")
		priorities := rapid.SliceOfN(rapid.IntRange(0, 9), n, n).Draw(t, "priorities")
		costs := rapid.SliceOfN(rapid.Float64Range(1, 100), n, n).Draw(t, "costs")
		served := serve(shares, priorities, costs, rapid.IntRange(1, 600).Draw(t, "rounds"))
		const headStart = 40
		for i := range n {
			for j := range n {
				bound := (costs[i]+headStart)/float64(shares[i]) + (costs[j]+headStart)/float64(shares[j])
				if gap := math.Abs(served[i]/float64(shares[i]) - served[j]/float64(shares[j])); gap > bound+1e-6 {
					t.Fatalf("contracts %d and %d are %.2f apart, bound %.2f: served %v, shares %v", i, j, gap, bound, served, shares)
				}
			}
		}
	})
}

// jain returns Jain's fairness index of the service relative to the shares.
func jain(served []float64, shares []int) float64 {
	var sum, squares float64
	for i, s := range served {
		x := s / float64(shares[i])
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(served)) * squares)
}

func TestJainIndexUnderOverload(t *testing.T) {
	shares, priorities, costs := make([]int, 60), make([]int, 60), make([]float64, 60)
	for i := range shares {
		shares[i] = []int{1, 2, 4}[i%3]
		priorities[i] = i % 2
		costs[i] = float64(50 + 37*i%400)
	}
	index := jain(serve(shares, priorities, costs, 20_000), shares)
	t.Logf("Jain index %.5f over 60 contracts with shares 1:2:4", index)
	if index < 0.99 {
		t.Errorf("Jain index is %.5f, want at least 0.99", index)
	}
}

// One contract floods the queue. If new requests to a full queue were always refused,
// other contracts would be refused because of the flood.
func TestFloodingContractIsRefused(t *testing.T) {
	q := New(Options{Limit: 4})
	for id := range ID(4) {
		q.Push(Item{ID: id, Contract: "flood", Share: 1, Cost: 1, Deadline: begin.Add(time.Hour)}, begin)
	}
	refusal, refused := q.Push(Item{ID: 9, Contract: "small", Share: 1, Cost: 1, Deadline: begin.Add(time.Hour)}, begin)
	if !refused || refusal.Item.ID != 3 || refusal.Reason != ReasonFull {
		t.Errorf("got %+v", refusal)
	}
	if refusal, refused = q.Push(Item{ID: 10, Contract: "flood", Share: 1, Cost: 1, Deadline: begin.Add(time.Hour)}, begin); !refused || refusal.Item.ID != 10 {
		t.Errorf("got %+v", refusal)
	}
}

func TestWaitsAreBounded(t *testing.T) {
	q := New(Options{Limit: 100})
	q.SetRate(10)
	for id := range ID(5) {
		if _, refused := q.Push(Item{ID: id, Contract: "a", Share: 1, Cost: 10, Deadline: begin.Add(4500 * time.Millisecond)}, begin); refused {
			t.Fatalf("request %d was refused", id)
		}
	}
	refusal, refused := q.Push(Item{ID: 5, Contract: "a", Share: 1, Cost: 10, Deadline: begin.Add(4500 * time.Millisecond)}, begin)
	if !refused || refusal.Reason != ReasonCertain || refusal.RetryAfter != 500*time.Millisecond {
		t.Errorf("got %+v", refusal)
	}
	if due, ok := q.NextDeadline(); !ok || !due.Equal(begin.Add(4500*time.Millisecond)) {
		t.Errorf("next deadline is %v, want 4.5 s after the start", due)
	}
	if early := q.Expire(begin.Add(4 * time.Second)); len(early) != 0 {
		t.Errorf("expired before the deadline: %v, want none", early)
	}
	if late := q.Expire(begin.Add(4500 * time.Millisecond)); len(late) != 5 || q.Len() != 0 {
		t.Errorf("expired %d, %d left, want 5 expired and none left", len(late), q.Len())
	}
}

func BenchmarkPushPop(b *testing.B) {
	for _, contracts := range []int{10, 1_000, 10_000} {
		b.Run(fmt.Sprintf("contracts=%d", contracts), func(b *testing.B) {
			q := New(Options{Limit: 4 * contracts})
			names := make([]string, contracts)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			id := ID(0)
			push := func() {
				id++
				c := int(id) % contracts
				q.Push(Item{ID: id, Contract: names[c], Share: 1 + c%4, Cost: float64(1 + id%97), Deadline: begin.Add(time.Duration(id))}, begin)
			}
			for range 2 * contracts {
				push()
			}
			b.ReportAllocs()
			for b.Loop() {
				push()
				q.Pop()
			}
		})
	}
}
