package experiment

import (
	"container/heap"
	"math"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// Bound returns a bound that no policy that loads on demand can beat on the same
// arrivals: the slots of all engines form one pool, no adapter is pinned, the
// adapter with the farthest next use is evicted (Belady), and the store has no
// queue. For the occupancy, the running requests and their adapters are packed at
// each time on the minimum number of engines.
func Bound(d Deployment, s Scenario, seed uint64) Result {
	w := newWorld(d, s, Naive(), seed)
	w.start()
	w.run(s.Length)
	trace := w.meter.trace
	r := Result{Requests: len(trace), Fairness: 1}
	stalls := clairvoyantStalls(trace, d.Engines*d.Slots)
	loads := 0
	for _, stall := range stalls {
		if stall > 0 {
			loads++
		}
	}
	r.StallP50, r.StallP95, r.StallP99 = quantile(stalls, 0.50), quantile(stalls, 0.95), quantile(stalls, 0.99)
	r.StartP99 = r.StallP99
	r.Stalled = float64(loads) / float64(len(stalls))
	r.LoadsPerRequest = r.Stalled
	r.Occupancy, r.ServersInUse = densestPacking(trace, d)
	return r
}

// clairvoyantStalls returns the stall of each request after the warm-up, under
// eviction with knowledge of all future arrivals.
func clairvoyantStalls(trace []arrival, size int) []time.Duration {
	next := nextUses(trace)
	held := make(map[catalogue.Ref]int)
	uses := &useHeap{}
	var stalls []time.Duration
	for i, request := range trace {
		stall := time.Duration(0)
		if _, hit := held[request.ref]; !hit {
			stall = storeLoadTime
			evictFarthest(held, uses, size)
		}
		held[request.ref] = next[i]
		heap.Push(uses, use{ref: request.ref, at: next[i]})
		if request.at >= warmUp {
			stalls = append(stalls, stall)
		}
	}
	return stalls
}

func evictFarthest(held map[catalogue.Ref]int, uses *useHeap, size int) {
	for len(held) >= size {
		u := heap.Pop(uses).(use)
		if at, ok := held[u.ref]; ok && at == u.at {
			delete(held, u.ref)
		}
	}
}

func nextUses(trace []arrival) []int {
	next := make([]int, len(trace))
	seen := make(map[catalogue.Ref]int)
	for i := len(trace) - 1; i >= 0; i-- {
		at, ok := seen[trace[i].ref]
		if !ok {
			at = math.MaxInt
		}
		next[i] = at
		seen[trace[i].ref] = i
	}
	return next
}

type use struct {
	ref catalogue.Ref
	at  int
}

// useHeap is a max-heap by the time of the use.
type useHeap []use

func (h useHeap) Len() int           { return len(h) }
func (h useHeap) Less(i, j int) bool { return h[i].at > h[j].at }
func (h useHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *useHeap) Push(x any) { *h = append(*h, x.(use)) }

// Pop implements heap.Interface.
func (h *useHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// densestPacking returns the occupancy and the mean number of engines if requests
// start on arrival and run at each time on the minimum number of engines.
func densestPacking(trace []arrival, d Deployment) (occupancy, engines float64) {
	c := &clock{}
	running, distinct := 0, make(map[catalogue.Ref]int)
	var filled, busy, span float64
	last := time.Duration(0)
	account := func() {
		if c.at > warmUp {
			seconds := (c.at - max(last, warmUp)).Seconds()
			byBatch := math.Ceil(float64(running) / float64(d.Capacity))
			bySlots := math.Ceil(float64(len(distinct)) / float64(d.Slots))
			needed := max(byBatch, bySlots)
			filled += seconds * float64(running)
			busy += seconds * needed * float64(d.Capacity)
			span += seconds
			engines += seconds * needed
		}
		last = c.at
	}
	for _, request := range trace {
		c.after(request.at, func() {
			account()
			running++
			distinct[request.ref]++
			c.after(request.length, func() {
				account()
				running--
				if distinct[request.ref]--; distinct[request.ref] == 0 {
					delete(distinct, request.ref)
				}
			})
		})
	}
	c.run(trace[len(trace)-1].at)
	return filled / busy, engines / span
}
