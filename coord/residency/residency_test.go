package residency

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func options() Options {
	return Options{MaxAdapters: 2, Batch: 4, MemoryTokens: 10_000, Loads: 2, Queue: 16, Grace: 2 * time.Second, Shares: true}
}

// tableWithRate returns a table for an engine that has read 4,000 tokens at 10
// per millisecond.
func tableWithRate() *Table {
	table := New(options())
	table.pacer.busySince = start.Add(-time.Second)
	table.pacer.recordRead(4000, 1, table.pacer.busySince.Add(400*time.Millisecond))
	return table
}

func request(id, adapter string) Request {
	return Request{ID: id, Adapter: adapter, Prompt: 10, Tokens: 20, StartDeadline: start.Add(time.Hour)}
}

// heldReport returns a report of an engine that holds adapters at version 0.
func heldReport(at time.Time, names ...string) Report {
	r := Report{Held: make(map[string]int64), RequestedAt: at}
	for _, name := range names {
		r.Held[name] = 0
	}
	return r
}

func describe(actions []Action) []string {
	var list []string
	for _, action := range actions {
		switch a := action.(type) {
		case Start:
			list = append(list, "start "+a.ID)
		case Refuse:
			list = append(list, fmt.Sprintf("refuse %s %s", a.ID, a.Reason))
		case Load:
			list = append(list, fmt.Sprintf("load %s@%d", a.Adapter, a.Version))
		case Unload:
			list = append(list, "unload "+a.Adapter)
		}
	}
	return list
}

func expect(t *testing.T, what string, got []Action, want ...string) {
	t.Helper()
	if list := describe(got); !slices.Equal(list, want) {
		t.Errorf("%s: %v, want %v", what, list, want)
	}
}

func TestRequestStartsOnceAdapterIsLoaded(t *testing.T) {
	table := New(options())
	expect(t, "admit", table.Admit(request("r1", "m/a"), start), "load m/a@0")
	expect(t, "second request", table.Admit(request("r2", "m/a"), start))
	later := start.Add(300 * time.Millisecond)
	expect(t, "report", table.Apply(heldReport(later, "m/a"), later), "start r1", "start r2")
	expect(t, "third request", table.Admit(request("r3", "m/a"), later), "start r3")
}

// Two requests use the whole capacity and a third asks for another adapter.
// Unloading an adapter in use would break its request; ordering a third adapter
// would crash the engine and fail all of its requests.
func TestAdapterInUseIsNotUnloaded(t *testing.T) {
	table := New(options())
	table.Apply(heldReport(start, "m/a", "m/b"), start)
	table.Admit(request("r1", "m/a"), start)
	table.Admit(request("r2", "m/b"), start)
	expect(t, "no free capacity", table.Admit(request("r3", "m/c"), start))
	expect(t, "one ends, but the engine may still run it", table.Done("r1", start))
	running := heldReport(start, "m/a", "m/b")
	running.Running = map[string]bool{"r2": true}
	running.RequestedAt = start.Add(time.Millisecond)
	expect(t, "the engine no longer runs it", table.Apply(running, running.RequestedAt), "unload m/a")
	expect(t, "the adapter is dropped", table.Unloaded("m/a", start), "load m/c@0")
}

// A newer version is announced while the adapter is in use. If a replacement
// were ordered, the engine would wait for the running requests to end and
// refuse every other order until then, so that all requests that need a load
// would stall for seconds.
func TestVersionInUseIsReplacedAfterItsRequestsEnd(t *testing.T) {
	table := New(options())
	table.Apply(heldReport(start, "m/a"), start)
	table.Admit(request("r1", "m/a"), start)
	expect(t, "announced", table.VersionAnnounced("m/a", 2, start, start))
	if _, stale := table.Held(start); !slices.Equal(stale, []string{"m/a"}) {
		t.Errorf("stale adapters are %v, want m/a", stale)
	}
	expect(t, "within the grace period", table.Admit(request("r2", "m/a"), start.Add(time.Second)), "start r2")
	late := start.Add(3 * time.Second)
	expect(t, "after the grace period", table.Admit(request("r3", "m/a"), late))
	expect(t, "one ends", table.Done("r1", late))
	expect(t, "both end", table.Done("r2", late))
	late = late.Add(time.Millisecond)
	expect(t, "the engine runs neither request", table.Apply(heldReport(late, "m/a"), late), "load m/a@2")
	expect(t, "others wait for the replacement", table.Admit(request("r4", "m/b"), late))
	done := late.Add(200 * time.Millisecond)
	report := heldReport(done)
	report.Held["m/a"] = 2
	expect(t, "the replacement is complete", table.Apply(report, done), "start r3", "load m/b@0")
}

// Guards against a grace period that begins anew when a version that was announced long before is learned of: by an agent that has restarted, or that stood still.
func TestGraceCountsFromEarliestAnnouncement(t *testing.T) {
	for _, test := range []struct {
		name string
		// learned are the times at which the version is said to have been announced, in the order of the reports.
		learned []time.Duration
		want    []string
	}{
		{"announced now", []time.Duration{0}, []string{"start r"}},
		{"announced within the grace period", []time.Duration{-time.Second}, []string{"start r"}},
		{"announced before the grace period", []time.Duration{-2 * time.Second}, nil},
		{"learned now, and a request tells that it is old", []time.Duration{0, -3 * time.Second}, nil},
		{"known to be old, and a request tells that it is new", []time.Duration{-3 * time.Second, 0}, nil},
	} {
		table := New(options())
		report := heldReport(start, "m/a")
		// A request of before the restart keeps the old version in use.
		report.Running = map[string]bool{"foreign": true}
		table.Apply(report, start)
		for _, at := range test.learned {
			table.VersionAnnounced("m/a", 2, start.Add(at), start)
		}
		expect(t, test.name, table.Admit(request("r", "m/a"), start), test.want...)
	}
}

func TestRequestsInTimeGoFirstWithinRank(t *testing.T) {
	table := New(options())
	table.SetOptions(Options{MaxAdapters: 2, Batch: 1, MemoryTokens: 10_000, Loads: 2, Queue: 16})
	table.Apply(heldReport(start, "m/a"), start)
	table.Admit(request("running", "m/a"), start)
	for _, r := range []struct {
		id     string
		rank   int
		target time.Duration
	}{{"late", 1, 0}, {"in time", 1, time.Second}, {"urgent", 0, 0}} {
		admitted := request(r.id, "m/a")
		admitted.Rank, admitted.Target = r.rank, start.Add(r.target)
		table.Admit(admitted, start)
	}
	now := start.Add(100 * time.Millisecond)
	expect(t, "first", table.Done("running", now), "start urgent")
	now = now.Add(100 * time.Millisecond)
	expect(t, "second", table.Done("urgent", now), "start in time")
	now = now.Add(100 * time.Millisecond)
	expect(t, "third", table.Done("in time", now), "start late")
}

// Long prompts that start together make every stream on the engine halt for a
// third of a second.
func TestPromptStartsArePaced(t *testing.T) {
	table := tableWithRate()
	table.Apply(heldReport(start, "m/a"), start)
	long := func(id string) Request {
		r := request(id, "m/a")
		r.Prompt = 4000
		return r
	}
	expect(t, "first request", table.Admit(long("r1"), start), "start r1")
	expect(t, "second request waits", table.Admit(long("r2"), start))
	next := table.Next()
	expect(t, "just before its start time", table.Tick(next.Add(-time.Millisecond)))
	expect(t, "at its start time", table.Tick(next), "start r2")
}

// Guards against prompts that start too fast because a part that was read before has yielded
// and is read again.
func TestRepeatedPromptIsPacedInFull(t *testing.T) {
	table := tableWithRate()
	table.Apply(heldReport(start, "m/a"), start)
	first := request("r1", "m/a")
	first.Prompt = 1000
	table.Admit(first, start)
	took := table.pacer.readUntil.Sub(start)
	table.FirstEvent("r1", start.Add(100*time.Millisecond))
	table.Done("r1", start.Add(time.Second))
	again := start.Add(2 * time.Second)
	first.ID = "r2"
	table.Admit(first, again)
	if repeated := table.pacer.readUntil.Sub(again); repeated != took || took <= 0 {
		t.Errorf("the second prompt takes %s and the first %s, want the same", repeated, took)
	}
}

// The read rate must be estimated correctly although a first event takes a
// constant time in addition to reading the prompt: with a rate estimated at
// half its value the queue grows until every request is late.
func TestReadRateIsEstimated(t *testing.T) {
	var f fit
	const rate = 20.0
	for i := range 60 {
		tokens := 200 + 53*(i%40)
		f.add(tokens, 70*time.Millisecond+time.Duration(float64(tokens)/rate*float64(time.Millisecond)))
	}
	if got := f.rate(); got < 19 || got > 21 {
		t.Errorf("the rate is %.1f tokens/ms, want 20", got)
	}
}

func TestUniformSamplesLeaveRateUnknown(t *testing.T) {
	p := pacer{busyRate: 12}
	for range 50 {
		p.fit.add(1000, 120*time.Millisecond)
	}
	if got := p.fit.rate(); got != 0 {
		t.Errorf("the rate from samples of one size is %.1f tokens/ms, want unknown", got)
	}
	if got := p.rate(); got != 12 {
		t.Errorf("the rate is %.1f tokens/ms, want that of the busy period, 12", got)
	}
}

// All processes restart, and the read rate of an engine is unknown. Callers
// must not be given a delay that is based on a guess. The first prompts
// determine the rate, even when none of them was read alone.
func TestUnknownRateDelaysNoRequest(t *testing.T) {
	o := options()
	o.Batch, o.MemoryTokens = 16, 100_000
	table := New(o)
	table.Apply(heldReport(start, "m/a"), start)
	long := func(id string) Request {
		r := request(id, "m/a")
		r.Prompt = 1000
		return r
	}
	for _, id := range []string{"r1", "r2", "r3"} {
		expect(t, id, table.Admit(long(id), start), "start "+id)
	}
	if delay := table.Delay(start); delay[Ranks-1] != 0 {
		t.Errorf("the delay is %v while the rate is unknown, want 0", delay)
	}
	for i, id := range []string{"r1", "r2", "r3"} {
		table.FirstEvent(id, start.Add(time.Duration(i+1)*50*time.Millisecond))
	}
	if got := table.pacer.rate(); got < 19 || got > 21 {
		t.Errorf("the rate is %.1f tokens/ms, want 20: 3,000 tokens were read in 150 ms", got)
	}
	now := start.Add(time.Second)
	expect(t, "first with a known rate", table.Admit(long("r4"), now), "start r4")
	expect(t, "second with a known rate is paced", table.Admit(long("r5"), now))
	table.Restarted()
	if got := table.pacer.rate(); got < 19 || got > 21 {
		t.Errorf("after a restart the rate is %.1f tokens/ms, want 20", got)
	}
}

func TestRequestIsRefusedAfterLatestStart(t *testing.T) {
	table := New(options())
	r := request("r1", "m/a")
	r.StartDeadline = start.Add(time.Second)
	table.Admit(r, start)
	expect(t, "too late", table.Tick(start.Add(2*time.Second)), "refuse r1 too_late")
}

func TestLeavingEngineRefusesRequests(t *testing.T) {
	table := New(options())
	table.Admit(request("r1", "m/a"), start)
	expect(t, "waiting request", table.Leave(), "refuse r1 leaving")
	expect(t, "new request", table.Admit(request("r2", "m/a"), start), "refuse r2 leaving")
}

// An entry crashes and never reports the end of its request. The request's
// place in the batch must become free.
func TestRequestsOfCrashedEntryAreDropped(t *testing.T) {
	table := New(options())
	table.Apply(heldReport(start, "m/a"), start)
	table.Admit(request("r1", "m/a"), start)
	now := start
	for range missingReports + 1 {
		now = now.Add(unseenTimeout)
		table.Apply(heldReport(now, "m/a"), now)
	}
	if table.Running() != 0 || table.Tokens() != 0 {
		t.Errorf("%d requests with %d tokens are still counted, want none", table.Running(), table.Tokens())
	}
}

// For any order of events, the engine is never ordered to hold more adapters
// than its capacity, and no adapter in use is unloaded.
func TestEngineIsNeverOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := options()
		o.MaxAdapters = rapid.IntRange(1, 3).Draw(t, "places")
		table := New(o)
		engine := make(map[string]bool)
		uses := make(map[string]string)
		now, next := start, 0
		check := func(actions []Action) {
			for _, action := range actions {
				switch a := action.(type) {
				case Load:
					engine[a.Adapter] = true
					if len(engine) > o.MaxAdapters {
						t.Fatalf("the engine is ordered to hold %v with a capacity of %d", engine, o.MaxAdapters)
					}
				case Unload:
					for id, adapter := range uses {
						if adapter == a.Adapter {
							t.Fatalf("%s is unloaded while request %s uses it", a.Adapter, id)
						}
					}
					delete(engine, a.Adapter)
				}
			}
			for _, action := range actions {
				if s, ok := action.(Start); ok {
					uses[s.ID] = table.started[s.ID].adapter
				}
			}
		}
		// unread is a report that was requested and has not been read yet.
		var unread *Report
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 4:
				report := heldReport(now, slices.Collect(maps.Keys(engine))...)
				report.Running = make(map[string]bool)
				for id := range uses {
					report.Running[id] = true
				}
				unread = &report
			case 5:
				if unread != nil {
					check(table.Apply(*unread, now))
					unread = nil
				}
			case 6:
				// The answer to an order arrives independently of reports, possibly
				// before one that was requested earlier.
				for _, name := range table.sortedNames() {
					if table.adapters[name].unloading {
						check(table.Unloaded(name, now))
						break
					}
				}
			case 0:
				next++
				r := request(fmt.Sprint("r", next), "m/"+rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "adapter"))
				r.StartDeadline = now.Add(time.Second)
				check(table.Admit(r, now))
			case 1:
				// The engine may run the request for a while after the caller knows
				// that it has ended.
				for _, id := range slices.Sorted(maps.Keys(uses)) {
					check(table.Done(id, now))
					break
				}
			case 2:
				// Reports are requested one after the other.
				unread = nil
				report := heldReport(now, slices.Collect(maps.Keys(engine))...)
				report.Running = make(map[string]bool)
				for _, id := range slices.Sorted(maps.Keys(uses)) {
					if table.started[id] == nil && rapid.Bool().Draw(t, "stopped") {
						delete(uses, id)
						continue
					}
					report.Running[id] = true
				}
				check(table.Apply(report, now))
			default:
				check(table.Tick(now))
			}
		}
	})
}

// The agent requests a report, the engine answers, and before the answer is
// read an unload is ordered and completed. The report still lists the adapter.
// If the table took that as current, a request would start on an adapter that
// is not loaded, and once the next report shows that, its load would exceed the
// capacity and crash the engine with all of its requests.
func TestStaleReportDoesNotRestoreUnloadedAdapter(t *testing.T) {
	o := options()
	o.MaxAdapters = 1
	table := New(o)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	table.Apply(heldReport(at(0), "m/a"), at(0))
	expect(t, "another adapter is requested", table.Admit(request("r1", "m/b"), at(10)), "unload m/a")
	expect(t, "the unload is complete", table.Unloaded("m/a", at(20)), "load m/b@0")
	expect(t, "stale report", table.Apply(heldReport(at(5), "m/a"), at(25)))
	expect(t, "the dropped adapter is requested", table.Admit(request("r2", "m/a"), at(30)))
	report := heldReport(at(40))
	report.Loading = map[string]int64{"m/b": 0}
	expect(t, "new report", table.Apply(report, at(45)))
	expect(t, "the load has ended", table.Apply(heldReport(at(300), "m/b"), at(300)), "start r1")
}

// The engine has dropped an adapter on its own while a request that started on
// it still counts as running. Loading it again needs free capacity like any
// other load.
func TestReloadNeedsFreeCapacity(t *testing.T) {
	o := options()
	o.MaxAdapters = 1
	table := New(o)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	table.Apply(heldReport(at(0), "m/a"), at(0))
	expect(t, "start", table.Admit(request("r1", "m/a"), at(0)), "start r1")
	report := heldReport(at(1), "m/b")
	report.Running = map[string]bool{"r1": true}
	expect(t, "another adapter takes its capacity", table.Apply(report, at(1)))
	for _, action := range table.Admit(request("r2", "m/a"), at(2)) {
		if load, ok := action.(Load); ok {
			t.Errorf("a load of %s is ordered although the engine is full", load.Adapter)
		}
	}
}

// An agent restarts while the engine runs requests that the agent does not
// know. They may use any adapter: unloading one would cut off their callers.
func TestNoUnloadWhileUnknownRequestsRun(t *testing.T) {
	table := New(options())
	report := heldReport(start, "m/a", "m/b")
	report.Running = map[string]bool{"of before": true}
	table.Apply(report, start)
	expect(t, "no free capacity", table.Admit(request("r1", "m/c"), start))
	report.Running, report.RequestedAt = nil, start.Add(time.Second)
	expect(t, "the unknown request has ended", table.Apply(report, start.Add(time.Second)), "unload m/a")
}
