package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/capacity"
)

const allowedGap = 300 * time.Millisecond

// slowTable returns a table for an engine that reads 20 tokens per millisecond, with one
// stream that allows pauses of 300 ms, and that reports the given speed.
func slowTable(percent int) *Table {
	o := options()
	o.Batch, o.MemoryTokens, o.Queue = 16, 1_000_000, 16
	table := New(o)
	table.pacer.busyRate = 20
	r := request("stream", "")
	r.Gap = allowedGap
	table.Admit(r, start.Add(-time.Second))
	table.FirstEvent("stream", start.Add(-900*time.Millisecond))
	table.Told(percent, start, start)
	return table
}

func prompt(id string, tokens int) Request {
	r := request(id, "")
	r.Prompt = tokens
	return r
}

// Guards against a long prompt that stalls all streams of an engine in a slow phase.
func TestPromptIsHeldInSlowPhase(t *testing.T) {
	table := slowTable(250)
	expect(t, "3,000 tokens take 375 ms", table.Admit(prompt("long", 3000), start))
	expect(t, "a smaller one behind it", table.Admit(prompt("small", 500), start), "start small")
	at := start.Add(100 * time.Millisecond)
	table.FirstEvent("small", at)
	table.Told(100, at, at)
	expect(t, "in the next calm phase", table.Tick(at), "start long")
	if held, toEnd := table.Holds(); held != 1 || toEnd != 0 {
		t.Errorf("%d held, %d to the end, want 1 and 0", held, toEnd)
	}
}

// Guards against holds where nothing is known of the speed, or where they were switched off: these
// decisions must be the same as without the estimate.
func TestNothingIsHeldWithoutReason(t *testing.T) {
	for name, table := range map[string]*Table{
		"no data":       slowTable(0),
		"normal speed":  slowTable(100),
		"fast":          slowTable(60),
		"near baseline": slowTable(110),
	} {
		for i := range 3 {
			expect(t, name, table.Admit(prompt(fmt.Sprint(i), 5800), start.Add(time.Duration(i)*time.Second)), fmt.Sprintf("start %d", i))
		}
		if above, left := table.Hold(start); above != 0 || left != 0 {
			t.Errorf("%s: prompts above %d tokens are held for %s", name, above, left)
		}
	}
	table := slowTable(250)
	o := table.options
	o.Hold = HoldNever
	table.SetOptions(o)
	expect(t, "switched off", table.Admit(prompt("long", 3000), start), "start long")
	table = slowTable(250)
	o = table.options
	o.Speed.Source = capacity.SourceNone
	table.SetOptions(o)
	expect(t, "no source", table.Admit(prompt("long", 3000), start), "start long")
}

// Guards against a prompt that waits although it would not stall a stream.
func TestPromptIsHeldOnlyForStreamsPastTheirFirstEvent(t *testing.T) {
	table := slowTable(250)
	table.Done("stream", start)
	expect(t, "no stream", table.Admit(prompt("long", 3000), start), "start long")

	table = slowTable(250)
	table.Done("stream", start)
	unread := prompt("unread", 10)
	unread.Gap = allowedGap
	expect(t, "admit", table.Admit(unread, start), "start unread")
	at := start.Add(20 * time.Millisecond)
	expect(t, "the stream has no event yet", table.Admit(prompt("long", 3000), at), "start long")

	table = slowTable(250)
	table.started["stream"].gap = 0
	expect(t, "the route allows any pause", table.Admit(prompt("long", 3000), start), "start long")
}

// Guards against prompts that are each short enough and together stall the streams.
func TestUnreadPromptsCountInStall(t *testing.T) {
	table := slowTable(250)
	expect(t, "1,200 tokens take 150 ms", table.Admit(prompt("first", 1200), start), "start first")
	at := start.Add(300 * time.Millisecond)
	table.Told(250, at, at)
	expect(t, "2,400 tokens take 300 ms", table.Admit(prompt("second", 1200), at))
	table.FirstEvent("first", at)
	expect(t, "the first is read", table.Tick(at), "start second")
}

// Guards against a prompt that waits for as long as a machine stays slow.
func TestHoldEnds(t *testing.T) {
	table := slowTable(250)
	expect(t, "admit", table.Admit(prompt("long", 3000), start))
	tick := func(after time.Duration) []Action {
		at := start.Add(after)
		table.Told(250, at, at)
		return table.Tick(at)
	}
	expect(t, "before the bound", tick(time.Second-time.Millisecond))
	expect(t, "at the bound", tick(time.Second), "start long")
	if held, toEnd := table.Holds(); held != 1 || toEnd != 1 {
		t.Errorf("%d held, %d to the end, want 1 and 1", held, toEnd)
	}
}

// Guards against a request that is refused because it was held.
func TestHoldEndsBeforeStartDeadline(t *testing.T) {
	table := slowTable(250)
	r := prompt("long", 3000)
	r.StartDeadline = start.Add(200 * time.Millisecond)
	expect(t, "admit", table.Admit(r, start))
	at := r.StartDeadline.Add(-deadlineReserve)
	table.Told(250, at, at)
	expect(t, "before its deadline", table.Tick(at), "start long")
}

// Guards against prompts that pile up at an engine because they are paced by its normal speed.
func TestPaceFollowsSpeed(t *testing.T) {
	second := func(percent int) time.Duration {
		table := slowTable(percent)
		table.Done("stream", start)
		expect(t, "first", table.Admit(prompt("first", 1400), start), "start first")
		expect(t, "second", table.Admit(prompt("second", 1400), start))
		return table.Next().Sub(start) + burst
	}
	if calm, slow := second(0), second(250); calm != 100*time.Millisecond || slow != 250*time.Millisecond {
		t.Errorf("1,400 tokens take %s at normal speed and %s at 2.5 times the time, want 100 ms and 250 ms", calm, slow)
	}
}

// Guards against delays that entries, and the agent's own declines, count at normal speed.
func TestPublishedDelaysFollowSpeed(t *testing.T) {
	delay := func(percent int) (waiting, cost time.Duration) {
		table := slowTable(percent)
		table.options.Batch = 1
		table.Admit(prompt("waiting", 1400), start)
		table.options.Batch = 16
		return table.Delay(start)[0], table.PromptCost(start)
	}
	calm, calmCost := delay(0)
	slow, slowCost := delay(250)
	if calm <= 0 || slow != calm*5/2 || calmCost <= 0 || slowCost != calmCost*5/2 {
		t.Errorf("the delays are %s and %s at normal speed, %s and %s at 2.5 times the time", calm, calmCost, slow, slowCost)
	}
}

// Guards against a baseline reading rate that follows the slow phases, in which prompts would be
// held and paced twice.
func TestReadingRateIsOfNormalSpeed(t *testing.T) {
	for _, told := range []int{100, 250, 60} {
		o := options()
		o.Batch, o.MemoryTokens = 16, 1_000_000
		table := New(o)
		now := start
		for i := range 40 {
			r := prompt(fmt.Sprint(i), 400+100*(i%20))
			expect(t, "admit", table.Admit(r, now), fmt.Sprintf("start %d", i))
			factor := 1.0
			if i%2 == 1 {
				factor = float64(told) / 100
			}
			took := time.Duration(factor * float64(20*time.Millisecond+time.Duration(r.Prompt)*50*time.Microsecond))
			now = now.Add(took)
			table.Told(int(100*factor), now, now)
			table.FirstEvent(r.ID, now)
			table.Done(r.ID, now)
			now = now.Add(500 * time.Millisecond)
		}
		if rate := table.pacer.rate(); rate < 18 || rate > 22 {
			t.Errorf("with phases of %d%% the rate is %.1f tokens per millisecond, want 20", told, rate)
		}
	}
}

// Guards against a request that waits out a slow phase although another engine would start it sooner.
func TestDelayIncludesExpectedHold(t *testing.T) {
	admit := func(percent, tokens int, maxDelay time.Duration) []Action {
		r := prompt("r", tokens)
		r.MaxDelay = maxDelay
		return slowTable(percent).Admit(r, start)
	}
	expect(t, "a long prompt in a slow phase", admit(250, 3000, 200*time.Millisecond), "refuse r busy")
	expect(t, "one that may wait for it", admit(250, 3000, 400*time.Millisecond))
	expect(t, "a short prompt", admit(250, 500, 200*time.Millisecond), "start r")
	expect(t, "a long prompt at normal speed", admit(100, 3000, 200*time.Millisecond), "start r")
}

// Guards against entries that cannot see which prompts an engine holds, and for how long.
func TestHoldIsPublished(t *testing.T) {
	table := slowTable(250)
	above, left := table.Hold(start)
	// 270 ms at 8 tokens per millisecond.
	if above < 1900 || above > 2160 || left != 300*time.Millisecond {
		t.Errorf("prompts above %d tokens are held for %s, want about 2,160 and 300 ms", above, left)
	}
	if got := table.SlowPercent(start); got != 250 {
		t.Errorf("the published speed is %d%%, want 250%%", got)
	}
	r := prompt("held", above+holdTokens)
	expect(t, "a prompt above it", table.Admit(r, start))
	expect(t, "one of that size", table.Admit(prompt("started", above), start), "start started")
	if above, _ := table.Hold(start); above != 1 {
		t.Errorf("while as much is unread as the streams bear, prompts above %d tokens are held, want all", above)
	}
	if got := slowTable(0).SlowPercent(start); got != 0 {
		t.Errorf("without data %d%% is published, want 0", got)
	}
}

// Guards against a state that changes with each report, since each change is sent to all entries.
func TestPublishedSpeedIsSteady(t *testing.T) {
	table := slowTable(100)
	changes, last := 0, table.SlowPercent(start)
	for i := range 100 {
		at := start.Add(time.Duration(i) * 50 * time.Millisecond)
		table.Told(100+12*(i%2*2-1), at, at)
		if got := table.SlowPercent(at); got != last {
			changes, last = changes+1, got
		}
	}
	if changes != 0 {
		t.Errorf("the published speed changed %d times with values of 88%% and 112%%", changes)
	}
}

// progressReport returns a report at which the runs have made the given events.
func progressReport(at time.Time, events map[string]int) Report {
	r := Report{Running: make(map[string]bool), Events: events, RequestedAt: at}
	for id := range events {
		r.Running[id] = true
	}
	return r
}

// Guards against an estimate that does not get the progress of an engine's runs, or a restarted
// engine that makes the table forget the speed of its machine.
func TestReportsShowSlowPhase(t *testing.T) {
	table := slowTable(0)
	now, events := start, 100.0
	run := func(length time.Duration, factor float64) {
		for end := now.Add(length); now.Before(end); {
			now = now.Add(50 * time.Millisecond)
			events += 50 / (18 * factor)
			table.Apply(progressReport(now, map[string]int{"stream": int(events)}), now)
		}
	}
	run(5*time.Second, 1)
	if factor, known := table.Factor(now); !known || factor < 0.8 || factor > 1.2 {
		t.Errorf("the factor at normal speed is %v, %v", factor, known)
	}
	run(150*time.Millisecond, 2.5)
	if factor, _ := table.Factor(now); factor < 1.6 || factor > 3.4 {
		t.Errorf("the factor in a slow phase is %v, want about 2.5", factor)
	}
	step := table.speed.Step()
	table.Restarted()
	if factor, known := table.Factor(now); factor != 1 || known || table.speed.Step() != step {
		t.Errorf("after a restart the factor is %v, %v, and the step %s, want 1 and %s", factor, known, table.speed.Step(), step)
	}
}

// Guards against a prompt that counts as unread, and holds others up, because the notification
// of its first event was lost.
func TestReportShowsThatPromptIsRead(t *testing.T) {
	table := slowTable(250)
	expect(t, "first", table.Admit(prompt("first", 2000), start), "start first")
	at := start.Add(500 * time.Millisecond)
	table.Told(250, at, at)
	expect(t, "second", table.Admit(prompt("second", 2000), at))
	expect(t, "report", table.Apply(progressReport(at, map[string]int{"stream": 50, "first": 2}), at), "start second")
}
