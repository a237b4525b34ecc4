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

func ask(i int, exclude ...string) Request {
	return Request{Kind: membership.KindEngine, Ref: adapter(i), BaseModel: model, Exclude: exclude}
}

func selector(options SelectorOptions, announced ...membership.Announcement) *Selector {
	s := NewSelector(NewPicker(), options)
	s.Observe(announced, start)
	return s
}

func TestFiltersRuleServersOut(t *testing.T) {
	leaving := engine("leaving", idle())
	leaving.Leaving = true
	other := engine("other", idle())
	other.BaseModel = "another"
	desk := membership.Announcement{Server: "desk", Kind: membership.KindService, Pool: "desk"}
	s := selector(SelectorOptions{}, leaving, other, desk, engine("tried", idle()))
	if got, ok := s.Pick(ask(1), start); !ok || got.Server != "tried" {
		t.Errorf("picked %q", got.Server)
	}
	if got, ok := s.Pick(ask(1, "tried"), start); ok {
		t.Errorf("picked %q, which must not run the request", got.Server)
	}
	if got, ok := s.Pick(Request{Kind: membership.KindService, Pool: "desk"}, start); !ok || got.Server != "desk" {
		t.Errorf("picked %q for the service", got.Server)
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
		{"full batch waits", QueueWait, Candidate{Server: server(0), InFlight: 14}, crowding + 1},
		{"resident", LoadWait, Candidate{Server: server(0), Resident: true}, 0},
		{"arriving", LoadWait, Candidate{Server: server(0), Arriving: true}, 0.5},
		{"free slot", LoadWait, Candidate{Server: server(0), Obtainable: 1}, 1},
		{"no free slot", LoadWait, Candidate{Server: server(0)}, 1.25},
		{"overbooked slots", LoadWait, Candidate{Server: server(0), Obtainable: -3}, 2},
		{"a rare adapter goes", EvictionCost, Candidate{Server: victim(1)}, evictionCost},
		{"a popular adapter goes", EvictionCost, Candidate{Server: victim(1000)}, maxEvictionCost},
		{"nothing goes", EvictionCost, Candidate{Server: victim(1000), Resident: true}, 0},
		{"another data centre", DataCentre, Candidate{Server: server(0), Remote: true}, crossingCost},
		{"failed lately", Health, Candidate{Server: server(0), Failures: 3}, 3 * failureCost},
		{"fails always", Health, Candidate{Server: server(0), Failures: 1000}, maxFailureCost},
		{"second choice", Affinity, Candidate{Server: server(0), Preference: 1}, affinityStep},
		{"active", Packing, Candidate{Server: server(1)}, 0},
		{"beyond the active", Packing, Candidate{Server: server(2)}, packingCost},
	}
	for _, c := range cases {
		if got := c.scorer(&c.candidate, e); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("%s: %v seconds, want %v", c.name, got, c.want)
		}
	}
}

func TestResidentServerIsPreferredUntilItsQueueIsLongerThanALoad(t *testing.T) {
	busy := idle(adapter(1))
	busy.Running = 15
	s := selector(SelectorOptions{}, engine("holds", busy), engine("empty", idle()))
	if got, _ := s.Pick(ask(1), start); got.Server != "holds" {
		t.Errorf("picked %q with room in the batch", got.Server)
	}
	busy.Running = 40
	s = selector(SelectorOptions{}, engine("holds", busy), engine("empty", idle()))
	if got, _ := s.Pick(ask(1), start); got.Server != "empty" {
		t.Errorf("picked %q behind a queue", got.Server)
	}
}

// Entries that do not know of each other would each load a rare adapter on
// another server: callers wait for several loads of the same thing.
func TestEntriesAgreeWhereARareAdapterGoes(t *testing.T) {
	var announced []membership.Announcement
	for i := range 18 {
		announced = append(announced, engine(fmt.Sprintf("s%d", i), idle()))
	}
	for i := range 50 {
		first, _ := selector(SelectorOptions{Salt: 1}, announced...).Pick(ask(i), start)
		second, _ := selector(SelectorOptions{Salt: 2}, announced...).Pick(ask(i), start)
		if first.Server != second.Server {
			t.Errorf("adapter %d goes to %s and %s", i, first.Server, second.Server)
		}
	}
}

// Reports lag. Without its own count an entry would send a whole burst to the
// server that was the least loaded in the last report.
func TestOwnDispatchesCorrectALaggingReport(t *testing.T) {
	s := selector(SelectorOptions{}, engine("a", idle(adapter(1))), engine("b", idle(adapter(1))))
	sent := map[string]int{}
	for range 40 {
		got, _ := s.Pick(ask(1), start)
		s.Dispatched(got.Server, adapter(1), start)
		sent[got.Server]++
	}
	if sent["a"] < 15 || sent["b"] < 15 {
		t.Errorf("a burst was spread as %v", sent)
	}
}

func known(s *Selector) Candidate {
	s.rate(&s.view.servers[0], &Request{Ref: adapter(1)}, 0, start)
	return s.scratch
}

func TestLedgerForgetsWhatAReportIncludes(t *testing.T) {
	s := selector(SelectorOptions{ReportLag: time.Second}, engine("a", idle()))
	s.Dispatched("a", adapter(1), start.Add(time.Second))
	s.Dispatched("a", adapter(1), start.Add(3*time.Second))
	next := engine("a", membership.Load{Running: 1, Obtainable: 8})
	next.Sequence = 2
	s.Observe([]membership.Announcement{next}, start.Add(3*time.Second))
	c := known(s)
	if c.InFlight != 2 || !c.Arriving {
		t.Errorf("in flight %v, arriving %t; want the reported one and the later one", c.InFlight, c.Arriving)
	}
	s.Observe([]membership.Announcement{next}, start.Add(7*time.Second))
	if c := known(s); c.InFlight != 2 {
		t.Errorf("the same report came again: in flight %v, want 2", c.InFlight)
	}
	changed := next
	changed.Load.Running = 2
	s.Observe([]membership.Announcement{changed}, start.Add(8*time.Second))
	if c := known(s); c.InFlight != 2 || c.Arriving {
		t.Errorf("a report without a new number changed: in flight %v, want the 2 reported", c.InFlight)
	}
}

// A server back from a restart has no load and no adapters. It must get work
// again, but a flood of loads would stall all of it.
func TestAServerJustBackGetsItsShareOfRareAdapters(t *testing.T) {
	var announced []membership.Announcement
	for i := range 6 {
		load := idle()
		if i > 0 {
			load.Running = 8
		}
		announced = append(announced, engine(fmt.Sprintf("s%d", i), load))
	}
	s := selector(SelectorOptions{}, announced...)
	back := 0
	for i := range 60 {
		got, _ := s.Pick(ask(i), start)
		s.Dispatched(got.Server, adapter(i), start)
		if got.Server == "s0" {
			back++
		}
	}
	if back == 0 || back > 30 {
		t.Errorf("the server just back got %d of 60 loads", back)
	}
}

// A server that fails each request at once always looks the least loaded. It
// would draw the work of all callers and fail it, until operators notice.
func TestServerThatFailsAtOnceIsAvoidedAndTriedAgain(t *testing.T) {
	s := selector(SelectorOptions{}, engine("fails", idle(adapter(1))), engine("works", membership.Load{Running: 10, Obtainable: 8}))
	failed := 0
	for range 100 {
		got, _ := s.Pick(ask(1), start)
		s.Dispatched(got.Server, adapter(1), start)
		ran := time.Second
		if got.Server == "fails" {
			failed++
			ran = 0
		}
		s.Finished(got.Server, adapter(1), ran, start)
	}
	if failed == 0 || failed > 10 {
		t.Errorf("%d of 100 requests went to the server that fails", failed)
	}
	if got, _ := s.Pick(ask(1), start.Add(time.Minute)); got.Server != "fails" {
		t.Errorf("a minute later the request went to %q, though the other has recovered", got.Server)
	}
}

// A server that was full a moment ago is full for the next request too, until
// it says otherwise.
func TestDecliningServerCountsAsFullUntilItsNextReport(t *testing.T) {
	s := selector(SelectorOptions{}, engine("a", idle()))
	s.Dispatched("a", adapter(2), start)
	s.Declined("a", start)
	if c := known(s); c.Obtainable > 0 || c.Failures != 0 || c.InFlight != 0 {
		t.Errorf("after a decline: %+v", c)
	}
	next := engine("a", idle())
	next.Sequence = 2
	s.Observe([]membership.Announcement{next}, start.Add(time.Second))
	if c := known(s); c.Obtainable != 8 {
		t.Errorf("%d slots after the next report, want 8", c.Obtainable)
	}
}

func TestNearServerIsPreferredAmongEquals(t *testing.T) {
	far, near := engine("far", idle(adapter(1))), engine("near", idle(adapter(1)))
	far.DataCentre, near.DataCentre = "fold-bay", "press-hall"
	far.Load.Running, near.Load.Running = 1, 1
	picker := NewCustomPicker([]Filter{Serves}, []Scorer{QueueWait, DataCentre})
	s := NewSelector(picker, SelectorOptions{DataCentre: "press-hall"})
	s.Observe([]membership.Announcement{far, near}, start)
	for range 50 {
		if got, _ := s.Pick(ask(1), start); got.Server != "near" {
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
		t.Errorf("shrunk to %d servers within a second", got)
	}
	s.Observe(announce(2, 3), start.Add(10*time.Minute))
	if got := s.packer.active(g); got > 4 {
		t.Errorf("%d servers for a sixth of the demand", got)
	}
	s.Observe(announce(12, 4), start.Add(10*time.Minute+time.Second))
	if got := s.packer.active(g); got != 10 {
		t.Errorf("%d servers right after demand is back, want 10", got)
	}
}

// BenchmarkPick is the cost of one routing decision. A view of 600 servers
// holds 8 adapters each.
func BenchmarkPick(b *testing.B) {
	for _, size := range []struct{ servers, adapters int }{{22, 3_000}, {22, 130_000}, {600, 3_000}, {600, 130_000}} {
		b.Run(fmt.Sprintf("servers=%d/adapters=%d", size.servers, size.adapters), func(b *testing.B) {
			announced := manyServers(size.servers, size.adapters)
			s := selector(SelectorOptions{Packing: 0.5}, announced...)
			requests := make([]Request, 4096)
			for i := range requests {
				requests[i] = ask(i * size.adapters / len(requests))
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
	// picksPerReport and pickInterval give 250 requests a second at one
	// entry, and new load reports once a second.
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

// BenchmarkObserve is the cost of taking a new directory state.
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

// BenchmarkMemory is what one entry's selector holds per announced server with
// 8 adapters. The adapters of the catalogue cost it nothing.
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
