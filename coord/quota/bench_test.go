package quota

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/internal/liveheap"
)

// BenchmarkSize runs a steady load, spread evenly over all entries and within the
// contracts, and reports the cost of messages, the owner and an entry. Requests run
// 8 s, as 280 tokens at 29 ms do.
func BenchmarkSize(b *testing.B) {
	cases := []struct {
		entries, contracts int
		rate               float64
	}{
		{4, 1000, 100}, {4, 1000, 400}, {4, 4000, 400},
		{92, 3000, 750}, {185, 3000, 1500}, {370, 3000, 1500}, {370, 3000, 3000}, {370, 6000, 3000}, {370, 300, 3000},
	}
	for _, c := range cases {
		b.Run(fmt.Sprintf("entries=%d/contracts=%d/rate=%.0f", c.entries, c.contracts, c.rate), func(b *testing.B) {
			agreed := make([]contract.Contract, c.contracts)
			for i := range agreed {
				// Each contract allows 4 times its mean load.
				each := 4 * c.rate / float64(c.contracts)
				agreed[i] = testContract(fmt.Sprintf("customer-%05d", i), max(1, each), int64(60*500*max(1, each)), int(max(8, 40*each)))
			}
			const seconds = 15
			for b.Loop() {
				before := liveheap.Bytes()
				sim := simulate(scenario{entries: c.entries, agreed: agreed, rate: c.rate, tokens: 500, run: 8 * time.Second, seconds: seconds, measure: true})
				used := liveheap.Bytes() - before
				perSecond := float64(sim.messages) / seconds
				b.ReportMetric(perSecond, "renewals/s")
				b.ReportMetric(perSecond/float64(c.entries), "renewals/s/entry")
				b.ReportMetric(float64(sim.bytes)/seconds/float64(c.entries), "B/s/entry")
				b.ReportMetric(float64(sim.bytes)/seconds, "B/s/owner")
				b.ReportMetric(100*sim.ownerTime.Seconds()/seconds, "owner-%core")
				b.ReportMetric(100*sim.codecTime.Seconds()/seconds, "owner-codec-%core")
				b.ReportMetric(100*sim.entryTime.Seconds()/seconds/float64(c.entries), "entry-%core")
				b.ReportMetric(used/1024, "KiB-all")
				b.ReportMetric(100*float64(sim.refused)/float64(sim.offered), "%refused")
				b.ReportMetric(percentile(sim.waits, 0.5).Seconds()*1e3, "ms-wait-p50")
				b.ReportMetric(percentile(sim.waits, 0.99).Seconds()*1e3, "ms-wait-p99")
				runtime.KeepAlive(sim)
			}
		})
	}
}

func percentile(waits []time.Duration, p float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(waits))
	return sorted[int(p*float64(len(sorted)-1))]
}

// BenchmarkBalance reports the use of one contract under twice its load, compared
// with two simple alternatives: one bucket for all entries, which needs a message
// per request, and an even split.
func BenchmarkBalance(b *testing.B) {
	cases := []struct {
		name    string
		entries int
		weights []float64
	}{
		{"one of 4", 4, []float64{1}},
		{"skewed over 4", 4, []float64{0.7, 0.2, 0.08, 0.02}},
		{"even over 4", 4, nil},
		{"one of 370", 370, []float64{1}},
		{"even over 370", 370, nil},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			agreed := testContract("a", 50, 1<<40, 1000)
			const seconds = 60
			for b.Loop() {
				sim := simulate(scenario{entries: c.entries, agreed: []contract.Contract{agreed}, weights: c.weights, rate: 100, tokens: 10, run: 50 * time.Millisecond, seconds: seconds})
				allowed := ideal(agreed.Limits, 10, seconds)
				b.ReportMetric(100*float64(sim.admitted)/allowed, "%use")
				b.ReportMetric(100*evenSplit(sim, agreed.Limits, seconds)/allowed, "%use-even-split")
				b.ReportMetric(float64(sim.messages)/seconds, "messages/s")
				b.ReportMetric(float64(sim.offered)/seconds, "messages/s-one-bucket")
			}
		})
	}
}

// evenSplit returns the number of requests that an even split of the contract would
// admit.
func evenSplit(sim *simulation, limits contract.Limits, seconds int) (admitted float64) {
	part := (capacity(requestBucket, limits) + refill(requestBucket, limits)*float64(seconds)) / float64(sim.entries)
	for _, offered := range sim.offeredTo {
		admitted += min(part, float64(offered))
	}
	return admitted
}

// BenchmarkAdmit measures the cost of one request at an entry that has a share of the
// contract.
func BenchmarkAdmit(b *testing.B) {
	for _, contracts := range []int{1, 100, 3000} {
		b.Run(fmt.Sprintf("contracts=%d", contracts), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			h, agreed := newBusyHolder(now, contracts)
			id := RequestID(1 << 32)
			b.ReportAllocs()
			for b.Loop() {
				id++
				if actions := h.Request(now, Request{ID: id, Contract: agreed[int(id)%contracts], Tokens: 1}); len(actions) == 0 {
					b.Fatal("the request waits")
				}
				h.Settle(now, id, Use{NotRun: true})
			}
		})
	}
}

// BenchmarkContractMemory measures the memory of a contract in use at an entry and at
// the owner, by the number of entries that use it.
func BenchmarkContractMemory(b *testing.B) {
	const contracts = 2000
	for _, entries := range []int{1, 8} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			for b.Loop() {
				now := time.Unix(1_000_000, 0)
				before := liveheap.Bytes()
				holders := make([]*Holder, entries)
				var agreed []contract.Contract
				for i := range holders {
					holders[i], agreed = newBusyHolder(now, contracts)
				}
				held := liveheap.Bytes()
				owner := NewOwner(DefaultOptions(), Tenure{Epoch: 1, Began: now.Add(-time.Hour)}, lookup(agreed))
				for i, h := range holders {
					h.name = fmt.Sprint("entry-", i)
					h.full = true
					owner.Renew(now, h.Renewal(now, true))
				}
				b.ReportMetric((held-before)/contracts/float64(entries), "B/contract-at-entry")
				b.ReportMetric((liveheap.Bytes()-held)/contracts, "B/contract-at-owner")
				runtime.KeepAlive(holders)
				runtime.KeepAlive(owner)
			}
		})
	}
}

func lookup(agreed []contract.Contract) Contracts {
	byID := make(map[string]contract.Contract, len(agreed))
	for _, c := range agreed {
		byID[c.ID] = c
	}
	return func(id string) (contract.Contract, bool) {
		c, ok := byID[id]
		return c, ok
	}
}

// newBusyHolder returns a holder with a share and one running request of each
// contract.
func newBusyHolder(now time.Time, contracts int) (*Holder, []contract.Contract) {
	h := NewHolder(DefaultOptions(), "entry", 1)
	agreed := make([]contract.Contract, contracts)
	grants := make([]Grant, contracts)
	for i := range agreed {
		agreed[i] = testContract(fmt.Sprintf("customer-%05d", i), 1000, 1<<40, 1000)
		h.Request(now, Request{ID: RequestID(i), Contract: agreed[i], Tokens: 500})
		grants[i] = Grant{Contract: agreed[i].ID, Share: Share{0.1, 0.1, 0.1, 0.1, 0.1}, Credit: Credit{0.1, 0.1}}
	}
	r := h.Renewal(now, true)
	h.Reply(now, Reply{Incarnation: 1, Number: r.Number, Epoch: 1, Accepted: true, Grants: grants})
	return h, agreed
}
