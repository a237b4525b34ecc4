package placement

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/internal/liveheap"
	"github.com/rosemarypass/rosemarypass/coord/membership"
)

const model = "base"

var start = time.Unix(1000, 0)

func adapter(i int) catalogue.Ref {
	return catalogue.Ref{Adapter: fmt.Sprintf("a%d", i), Version: "1"}
}

func engine(name string, load membership.Load) membership.Announcement {
	if load.Capacity == 0 {
		load.Capacity = 16
	}
	return membership.Announcement{Server: name, Kind: membership.KindEngine, BaseModel: model, Slots: 8, Incarnation: 1, Sequence: 1, Load: load}
}

// idle is the load of a server with room for an adapter.
func idle(resident ...catalogue.Ref) membership.Load {
	return membership.Load{Obtainable: 8, Resident: resident}
}

func newRequest(i int, exclude ...string) Request {
	return Request{Kind: membership.KindEngine, Ref: adapter(i), BaseModel: model, Exclude: exclude}
}

func selector(options SelectorOptions, announced ...membership.Announcement) *Selector {
	s := NewSelector(NewPicker(), options)
	s.Observe(announced, start)
	return s
}

func TestFiltersExcludeServers(t *testing.T) {
	leaving := engine("leaving", idle())
	leaving.Leaving = true
	other := engine("other", idle())
	other.BaseModel = "another"
	desk := membership.Announcement{Server: "desk", Kind: membership.KindService, Pool: "desk"}
	s := selector(SelectorOptions{}, leaving, other, desk, engine("tried", idle()))
	if got, ok := s.Pick(newRequest(1), start); !ok || got.Server != "tried" {
		t.Errorf("picked %q, want the server that passes every filter", got.Server)
	}
	if got, ok := s.Pick(newRequest(1, "tried"), start); ok {
		t.Errorf("picked %q, which is excluded", got.Server)
	}
	if got, ok := s.Pick(Request{Kind: membership.KindService, Pool: "desk"}, start); !ok || got.Server != "desk" {
		t.Errorf("picked %q for the service, want desk", got.Server)
	}
}

func TestScorersInSeconds(t *testing.T) {
	e := &Estimates{LoadTime: time.Second, ServiceTime: 2 * time.Second, Active: 2}
	server := func(rank int) *Server {
		return &Server{Announcement: engine("s", membership.Load{Capacity: 10}), Rank: rank}
	}
	victim := func(use float64) *Server {
		return &Server{Announcement: engine("s", membership.Load{VictimUse: use})}
	}
	cases := []struct {
		name      string
		scorer    Scorer
		candidate Candidate
		want      float64
	}{
		{"empty batch", QueueWait, Candidate{Server: server(0)}, 0},
		{"full batch waits", QueueWait, Candidate{Server: server(0), InFlight: 14}, fullBatchCost + 1},
		{"resident", LoadWait, Candidate{Server: server(0), Resident: true}, 0},
		{"arriving", LoadWait, Candidate{Server: server(0), Arriving: true}, 0.5},
		{"free slot", LoadWait, Candidate{Server: server(0), Obtainable: 1}, 1},
		{"no free slot", LoadWait, Candidate{Server: server(0)}, 1.25},
		{"overbooked slots", LoadWait, Candidate{Server: server(0), Obtainable: -3}, 2},
		{"rare adapter evicted", EvictionCost, Candidate{Server: victim(1)}, evictionCost},
		{"popular adapter evicted", EvictionCost, Candidate{Server: victim(1000)}, maxEvictionCost},
		{"nothing evicted", EvictionCost, Candidate{Server: victim(1000), Resident: true}, 0},
		{"another data centre", DataCentre, Candidate{Server: server(0), Remote: true}, crossingCost},
		{"few recent failures", Health, Candidate{Server: server(0), Failures: 3}, 3 * failureCost},
		{"many recent failures", Health, Candidate{Server: server(0), Failures: 1000}, maxFailureCost},
		{"second choice", Affinity, Candidate{Server: server(0), Preference: 1}, affinityStep},
		{"active server", Packing, Candidate{Server: server(1)}, 0},
		{"beyond the active servers", Packing, Candidate{Server: server(2)}, packingCost},
	}
	for _, c := range cases {
		if got := c.scorer(&c.candidate, e); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("%s: %v seconds, want %v", c.name, got, c.want)
		}
	}
}

func TestResidentServerIsPreferredUntilQueueExceedsLoad(t *testing.T) {
	busy := idle(adapter(1))
	busy.Running = 15
	s := selector(SelectorOptions{}, engine("holds", busy), engine("empty", idle()))
	if got, _ := s.Pick(newRequest(1), start); got.Server != "holds" {
		t.Errorf("picked %q with room in the batch, want the holder", got.Server)
	}
	busy.Running = 40
	s = selector(SelectorOptions{}, engine("holds", busy), engine("empty", idle()))
	if got, _ := s.Pick(newRequest(1), start); got.Server != "empty" {
		t.Errorf("picked %q while the holder has a queue, want the empty server", got.Server)
	}
}

// If entries did not agree, each would load a rare adapter on another server,
// and callers would wait for several loads of the same adapter.
func TestEntriesAgreeOnServerForRareAdapter(t *testing.T) {
	var announced []membership.Announcement
	for i := range 18 {
		announced = append(announced, engine(fmt.Sprintf("s%d", i), idle()))
	}
	for i := range 50 {
		first, _ := selector(SelectorOptions{Salt: 1}, announced...).Pick(newRequest(i), start)
		second, _ := selector(SelectorOptions{Salt: 2}, announced...).Pick(newRequest(i), start)
		if first.Server != second.Server {
			t.Errorf("adapter %d goes to %s at one entry and to %s at another", i, first.Server, second.Server)
		}
	}
}

// Load reports lag behind. Without counting its own dispatches, an entry would
// send a whole burst to the server that had the lowest load in the last report.
func TestOwnDispatchesCorrectLaggingReport(t *testing.T) {
	s := selector(SelectorOptions{}, engine("a", idle(adapter(1))), engine("b", idle(adapter(1))))
	sent := map[string]int{}
	for range 40 {
		got, _ := s.Pick(newRequest(1), start)
		s.Dispatched(got.Server, adapter(1), start)
		sent[got.Server]++
	}
	if sent["a"] < 15 || sent["b"] < 15 {
		t.Errorf("a burst of 40 requests was spread as %v, want at least 15 on each", sent)
	}
}

func firstCandidate(s *Selector) Candidate {
	s.fillCandidate(&s.view.servers[0], &Request{Ref: adapter(1)}, 0, start)
	return s.scratch
}

func TestLedgerDropsReportedDispatches(t *testing.T) {
	s := selector(SelectorOptions{ReportLag: time.Second}, engine("a", idle()))
	s.Dispatched("a", adapter(1), start.Add(time.Second))
	s.Dispatched("a", adapter(1), start.Add(3*time.Second))
	next := engine("a", membership.Load{Running: 1, Obtainable: 8})
	next.Sequence = 2
	s.Observe([]membership.Announcement{next}, start.Add(3*time.Second))
	c := firstCandidate(s)
	if c.InFlight != 2 || !c.Arriving {
		t.Errorf("in flight %v, arriving %t; want the reported one and the later one", c.InFlight, c.Arriving)
	}
	s.Observe([]membership.Announcement{next}, start.Add(7*time.Second))
	if c := firstCandidate(s); c.InFlight != 2 {
		t.Errorf("after an unchanged report: in flight %v, want 2", c.InFlight)
	}
	changed := next
	changed.Load.Running = 2
	s.Observe([]membership.Announcement{changed}, start.Add(8*time.Second))
	if c := firstCandidate(s); c.InFlight != 2 || c.Arriving {
		t.Errorf("after a changed report with the same sequence number: in flight %v, want the 2 reported", c.InFlight)
	}
}

// A server that has just restarted has no load and no adapters. It must get
// requests again, but not so many loads at once that all of them stall.
func TestRestartedServerGetsShareOfRareAdapters(t *testing.T) {
	var announced []membership.Announcement
	for i := range 6 {
		load := idle()
		if i > 0 {
			load.Running = 8
		}
		announced = append(announced, engine(fmt.Sprintf("s%d", i), load))
	}
	s := selector(SelectorOptions{}, announced...)
	restarted := 0
	for i := range 60 {
		got, _ := s.Pick(newRequest(i), start)
		s.Dispatched(got.Server, adapter(i), start)
		if got.Server == "s0" {
			restarted++
		}
	}
	if restarted == 0 || restarted > 30 {
		t.Errorf("the restarted server got %d of 60 loads, want 1 to 30", restarted)
	}
}

// A server that fails each request immediately always looks the least loaded.
// It would attract the requests of all callers and fail them until an operator
// intervenes.
func TestFailingServerIsAvoidedAndTriedAgain(t *testing.T) {
	s := selector(SelectorOptions{}, engine("fails", idle(adapter(1))), engine("works", membership.Load{Running: 10, Obtainable: 8}))
	failed := 0
	for range 100 {
		got, _ := s.Pick(newRequest(1), start)
		s.Dispatched(got.Server, adapter(1), start)
		ran := time.Second
		if got.Server == "fails" {
			failed++
			ran = 0
		}
		s.Finished(got.Server, adapter(1), ran, start)
	}
	if failed == 0 || failed > 10 {
		t.Errorf("%d of 100 requests went to the server that fails, want 1 to 10", failed)
	}
	if got, _ := s.Pick(newRequest(1), start.Add(time.Minute)); got.Server != "fails" {
		t.Errorf("after a minute the request went to %q, want the server that failed before", got.Server)
	}
}

// A server that declined a request for lack of a slot counts as full for the
// next request too, until its next report.
func TestDecliningServerCountsAsFullUntilNextReport(t *testing.T) {
	s := selector(SelectorOptions{}, engine("a", idle()))
	s.Dispatched("a", adapter(2), start)
	s.Declined("a", start)
	if c := firstCandidate(s); c.Obtainable > 0 || c.Failures != 0 || c.InFlight != 0 {
		t.Errorf("after a decline: %+v, want no slots, failures or requests in flight", c)
	}
	next := engine("a", idle())
	next.Sequence = 2
	s.Observe([]membership.Announcement{next}, start.Add(time.Second))
	if c := firstCandidate(s); c.Obtainable != 8 {
		t.Errorf("%d slots after the next report, want 8", c.Obtainable)
	}
}

func TestLocalServerIsPreferredAmongEquals(t *testing.T) {
	remote, local := engine("far", idle(adapter(1))), engine("near", idle(adapter(1)))
	remote.DataCentre, local.DataCentre = "fold-bay", "press-hall"
	remote.Load.Running, local.Load.Running = 1, 1
	picker := NewCustomPicker([]Filter{Serves}, []Scorer{QueueWait, DataCentre})
	s := NewSelector(picker, SelectorOptions{DataCentre: "press-hall"})
	s.Observe([]membership.Announcement{remote, local}, start)
	for range 50 {
		if got, _ := s.Pick(newRequest(1), start); got.Server != "near" {
			t.Fatalf("picked %q among equals", got.Server)
		}
	}
}

func TestPackingUsesFewerServersAsDemandFalls(t *testing.T) {
	announce := func(running, sequence int) []membership.Announcement {
		var all []membership.Announcement
		for i := range 10 {
			a := engine(fmt.Sprintf("s%d", i), membership.Load{Running: running, Capacity: 16, Obtainable: 6})
			a.Sequence = uint64(sequence)
			all = append(all, a)
		}
		return all
	}
	s := NewSelector(NewPicker(), SelectorOptions{Packing: 1})
	s.Observe(announce(12, 1), start)
	g := groupOf(membership.KindEngine, "", model)
	if got := s.packer.active(g); got != 10 {
		t.Errorf("%d servers at full demand, want 10", got)
	}
	s.Observe(announce(2, 2), start.Add(time.Second))
	if got := s.packer.active(g); got < 9 {
		t.Errorf("shrunk to %d servers within a second, want at least 9", got)
	}
	s.Observe(announce(2, 3), start.Add(10*time.Minute))
	if got := s.packer.active(g); got > 4 {
		t.Errorf("%d servers for a sixth of the demand, want at most 4", got)
	}
	s.Observe(announce(12, 4), start.Add(10*time.Minute+time.Second))
	if got := s.packer.active(g); got != 10 {
		t.Errorf("%d servers right after demand is back, want 10", got)
	}
}

// BenchmarkPick measures one routing decision. Each server of the view holds 8
// adapters.
func BenchmarkPick(b *testing.B) {
	for _, size := range []struct{ servers, adapters int }{{22, 3_000}, {22, 130_000}, {600, 3_000}, {600, 130_000}} {
		b.Run(fmt.Sprintf("servers=%d/adapters=%d", size.servers, size.adapters), func(b *testing.B) {
			announced := manyServers(size.servers, size.adapters)
			s := selector(SelectorOptions{Packing: 0.5}, announced...)
			requests := make([]Request, 4096)
			for i := range requests {
				requests[i] = newRequest(i * size.adapters / len(requests))
			}
			b.ReportAllocs()
			now, sequence := start, uint64(1)
			for i := 0; b.Loop(); i++ {
				if i%picksPerReport == 0 {
					b.StopTimer()
					sequence++
					s.Observe(numbered(announced, sequence), now)
					b.StartTimer()
				}
				request := requests[i%len(requests)]
				now = now.Add(pickInterval)
				server, _ := s.Pick(request, now)
				s.Dispatched(server.Server, request.Ref, now)
				s.Finished(server.Server, request.Ref, time.Second, now)
			}
		})
	}
}

const (
	// picksPerReport and pickInterval give 250 requests per second at one entry
	// and new load reports once a second.
	picksPerReport = 250
	pickInterval   = 4 * time.Millisecond
)

func numbered(announced []membership.Announcement, sequence uint64) []membership.Announcement {
	next := slices.Clone(announced)
	for i := range next {
		next[i].Sequence = sequence
	}
	return next
}

// BenchmarkObserve measures the processing of a new directory state.
func BenchmarkObserve(b *testing.B) {
	for _, servers := range []int{22, 600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			announced := manyServers(servers, 130_000)
			s := selector(SelectorOptions{Packing: 0.5}, announced...)
			b.ReportAllocs()
			for b.Loop() {
				s.Observe(announced, start)
			}
		})
	}
}

func manyServers(servers, adapters int) []membership.Announcement {
	var announced []membership.Announcement
	for i := range servers {
		load := membership.Load{Running: i % 16, Obtainable: 4}
		for slot := range 8 {
			load.Resident = append(load.Resident, adapter((i*8+slot)*31%adapters))
		}
		announced = append(announced, engine(fmt.Sprintf("s%d", i), load))
	}
	return announced
}

// BenchmarkMemory measures the memory of one entry's selector per announced
// server with 8 adapters. Adapters of the catalogue that no server holds take
// no memory.
func BenchmarkMemory(b *testing.B) {
	for _, servers := range []int{22, 600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			announced := manyServers(servers, 130_000)
			for b.Loop() {
				before := liveheap.Bytes()
				s := selector(SelectorOptions{Packing: 0.5}, announced...)
				b.ReportMetric((liveheap.Bytes()-before)/float64(servers), "B/server")
				runtime.KeepAlive(s)
			}
		})
	}
}
