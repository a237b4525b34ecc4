package capacity

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

const (
	testStep = 18 * time.Millisecond
	testPoll = 50 * time.Millisecond
)

// server makes an event of each of its streams per step, and is reported every
// 50 ms.
type server struct {
	speed  *Speed
	now    time.Time
	events int
	// step is the time of a step at baseline speed, done the part of the current one.
	step, done time.Duration
	// streams is the number of streams, each of which has made a different number
	// of events.
	streams int
}

func newServer(options Options) *server {
	return &server{speed: New(options), now: start, events: 1, step: testStep, streams: 3}
}

// run advances the server by whole reports at a factor.
func (s *server) run(length time.Duration, factor float64) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.now = s.now.Add(testPoll)
		for s.done += time.Duration(float64(testPoll) / factor); s.done >= s.step; s.done -= s.step {
			s.events++
		}
		s.report(s.now, s.now)
	}
}

func (s *server) report(at, now time.Time) {
	runs := make([]Run, s.streams)
	for i := range runs {
		runs[i] = Run{ID: fmt.Sprint(i), Events: s.events + 10*i}
	}
	s.speed.Report(runs, false, at, now)
}

func near(t *testing.T, what string, got, want, share float64) {
	t.Helper()
	if math.Abs(got-want) > share*want {
		t.Errorf("%s: the factor is %.2f, want %.2f within %.0f%%", what, got, want, 100*share)
	}
}

// Guards against decisions that change on servers of which nothing is known.
func TestFactorIsOneWithoutData(t *testing.T) {
	s := New(Options{})
	if f := s.Factor(start); f != 1 {
		t.Errorf("the factor is %v, want 1", f)
	}
	if _, known := s.Age(start); known {
		t.Error("an estimator without data tells an age")
	}
	s.Told(0, start, start)
	s.Told(-5, start, start)
	if _, known := s.Age(start); known || s.Factor(start) != 1 {
		t.Error("a value that tells nothing was used")
	}
}

// Guards against an estimate that is still near the old speed when a phase, which may
// last 200 ms, is nearly over.
func TestProgressShowsPhaseWithin150Milliseconds(t *testing.T) {
	for _, factor := range []float64{2.5, 1.5, 4} {
		for shift := range 10 {
			s := newServer(Options{})
			s.run(5*time.Second, 1)
			s.done = time.Duration(shift) * testStep / 10
			near(t, "calm", s.speed.Factor(s.now), 1, 0.2)
			s.run(150*time.Millisecond, factor)
			near(t, fmt.Sprint("slow ", factor), s.speed.Factor(s.now), factor, 0.35)
			s.run(150*time.Millisecond, 1)
			near(t, "calm again", s.speed.Factor(s.now), 1, 0.35)
		}
	}
}

// Guards against a baseline that follows slow phases, although these take half of the time.
func TestBaselineIsOfNormalSpeed(t *testing.T) {
	for _, step := range []time.Duration{testStep, 30 * time.Millisecond} {
		s := newServer(Options{})
		s.step = step
		for range 15 {
			s.run(600*time.Millisecond, 1)
			s.run(600*time.Millisecond, 2.5)
		}
		if got := s.speed.Step(); got < step*85/100 || got > step*120/100 {
			t.Errorf("the baseline of steps of %s is %s", step, got)
		}
	}
}

// Guards against the time in which a prompt is read, when no stream makes an event, being
// taken for a slow phase.
func TestIntervalWithUnreadPromptGivesNoStepTime(t *testing.T) {
	for _, unread := range []bool{true, false} {
		checkUnread(t, unread)
	}
}

// checkUnread makes a server read a prompt that is known to the caller or only shown by
// the report.
func checkUnread(t *testing.T, unread bool) {
	t.Helper()
	s := newServer(Options{})
	s.run(5*time.Second, 1)
	before := s.speed.Step()
	for i := range 40 {
		s.now = s.now.Add(testPoll)
		s.events += i % 2
		runs := []Run{{"0", s.events}, {"1", s.events + 10}}
		if !unread {
			runs = append(runs, Run{"new", 0})
		}
		s.speed.Report(runs, unread, s.now, s.now)
	}
	if f := s.speed.Factor(s.now); f > 1.01 || s.speed.Step() != before {
		t.Errorf("the factor is %v and the step %s after a time of reading, want 1 and %s", f, s.speed.Step(), before)
	}
	// The interval that begins with an unread prompt gives none either.
	s.now = s.now.Add(testPoll)
	s.report(s.now, s.now)
	if f := s.speed.Factor(s.now); f > 1.01 {
		t.Errorf("the factor is %v after the first report behind the reading", f)
	}
}

// Guards against a stream that is halted, since its caller does not read, being taken for a slow
// machine for as long as it is.
func TestHaltedStreamIsNoSlowPhase(t *testing.T) {
	s := newServer(Options{})
	s.streams = 1
	s.run(5*time.Second, 1)
	for range 20 {
		s.now = s.now.Add(testPoll)
		s.report(s.now, s.now)
	}
	near(t, "a stream halted for a second", s.speed.Factor(s.now), 1, 0.5)
	// One of two streams is halted.
	s = newServer(Options{})
	s.streams = 2
	s.run(5*time.Second, 1)
	halted := s.events
	for range 20 {
		s.now, s.events = s.now.Add(testPoll), s.events+3
		s.speed.Report([]Run{{"0", halted}, {"1", s.events + 10}}, false, s.now, s.now)
		near(t, "one of two streams halted", s.speed.Factor(s.now), 1, 0.25)
	}
}

// Guards against engines of which nothing is known while they read prompts one after
// the other.
func TestReadingTimeGivesFactor(t *testing.T) {
	s := New(Options{})
	at := start.Add(190 * time.Millisecond)
	s.Read(start, at, 76*time.Millisecond, false)
	near(t, "one prompt", s.Factor(at), 2.5, 0.05)
	// Two prompts that are read in one piece end together: the first alone looks twice as slow.
	s = New(Options{})
	at = start.Add(150 * time.Millisecond)
	s.Read(start, at, 75*time.Millisecond, true)
	s.Report([]Run{{"a", 5}}, true, at, at)
	if f := s.Factor(at); f != 1 {
		t.Errorf("the factor is %v after the first of two prompts read together, want 1", f)
	}
	s.Read(at, at.Add(time.Millisecond), 75*time.Millisecond, false)
	near(t, "two prompts", s.Factor(at.Add(time.Millisecond)), 1, 0.05)
}

// Guards against a slow phase that shows only once the prompt that it delays is read.
func TestUnreadPromptBoundsFactor(t *testing.T) {
	s := New(Options{})
	now := start.Add(200 * time.Millisecond)
	s.Unread(start, 100*time.Millisecond, now)
	near(t, "a prompt unread for twice its time", s.Factor(now), 2, 0.01)
	if f := s.Factor(now.Add(150 * time.Millisecond)); f != 1 {
		t.Errorf("the factor is %v by an old bound, want 1", f)
	}
	s.Unread(start, 300*time.Millisecond, now)
	if f := s.Factor(now); f != 1 {
		t.Errorf("the factor is %v by a prompt that may still be read in time, want 1", f)
	}
}

// Guards against a comparison of reports between which something else may have happened.
func TestLateReportBreaksWindow(t *testing.T) {
	t.Run("gap", func(t *testing.T) {
		s := newServer(Options{})
		s.run(5*time.Second, 1)
		before := s.speed.Step()
		for range 200 {
			s.now, s.events = s.now.Add(201*time.Millisecond), s.events+40
			s.report(s.now, s.now)
			near(t, "after a gap of 201 ms", s.speed.Factor(s.now), 1, 0.2)
		}
		if got := s.speed.Step(); got != before {
			t.Errorf("reports 201 ms apart changed the baseline from %s to %s", before, got)
		}
	})
	t.Run("slow answer", func(t *testing.T) {
		s := newServer(Options{})
		s.run(5*time.Second, 1)
		before := s.speed.Step()
		for range 800 {
			s.now, s.events = s.now.Add(testPoll), s.events+7
			s.report(s.now, s.now.Add(201*time.Millisecond))
		}
		if got := s.speed.Step(); got != before {
			t.Errorf("answers that took 201 ms changed the baseline from %s to %s", before, got)
		}
		near(t, "after answers that took 201 ms", s.speed.Factor(s.now.Add(201*time.Millisecond)), 1, 0.2)
	})
}

// Guards against a server's restart that loses what was learned of its machine, or that
// compares runs across it.
func TestRestartKeepsBaseline(t *testing.T) {
	s := newServer(Options{})
	s.run(5*time.Second, 1)
	s.run(300*time.Millisecond, 2.5)
	before := s.speed.Step()
	s.speed.Restarted()
	if f := s.speed.Factor(s.now); f != 1 || s.speed.Step() != before {
		t.Errorf("after a restart the factor is %v and the step %s, want 1 and %s", f, s.speed.Step(), before)
	}
	s.events = 1
	s.run(testPoll, 1)
	if f := s.speed.Factor(s.now); f != 1 {
		t.Errorf("the factor is %v by the first report after a restart, want 1", f)
	}
	s.run(300*time.Millisecond, 2.5)
	near(t, "slow after a restart", s.speed.Factor(s.now), 2.5, 0.35)
}

// Guards against an old value of the header that goes before newer progress, and against one
// that lasts longer than the phase.
func TestToldFactorPrecedesAndDecays(t *testing.T) {
	s := New(Options{})
	s.Told(250, start, start)
	near(t, "new", s.Factor(start), 2.5, 0.001)
	near(t, "100 ms old", s.Factor(start.Add(100*time.Millisecond)), 2.5, 0.001)
	near(t, "a half-life later", s.Factor(start.Add(400*time.Millisecond)), 1.75, 0.01)
	near(t, "2 s old", s.Factor(start.Add(2*time.Second)), 1, 0.05)
	s.Told(60, start.Add(-time.Second), start)
	near(t, "an earlier value arrives later", s.Factor(start), 2.5, 0.001)

	p := newServer(Options{})
	p.run(5*time.Second, 1)
	p.speed.Told(250, p.now, p.now)
	near(t, "told beside progress", p.speed.Factor(p.now), 2.5, 0.001)
	p.run(150*time.Millisecond, 1)
	near(t, "progress newer than 100 ms", p.speed.Factor(p.now), 1, 0.2)
	if age, known := p.speed.Age(p.now); !known || age > testPoll {
		t.Errorf("the age is %s, %v", age, known)
	}
}

// Guards against values from a broken header that make each prompt wait or none.
func TestToldFactorIsBounded(t *testing.T) {
	s := New(Options{})
	s.Told(10_000, start, start)
	if f := s.Factor(start); f != MaxFactor {
		t.Errorf("the factor is %v, want %v", f, MaxFactor)
	}
	s.Told(1, start.Add(1), start.Add(1))
	if f := s.Factor(start.Add(1)); f != MinFactor {
		t.Errorf("the factor is %v, want %v", f, MinFactor)
	}
	// A value with a time that is still to come is as old as its arrival.
	s.Told(250, start.Add(time.Hour), start.Add(2))
	s.Told(100, start.Add(3), start.Add(3))
	near(t, "after a value of the future", s.Factor(start.Add(3)), 1, 0.001)
}

// Guards against a server that always tells the same speed, which holds all prompts, or none,
// for as long as it runs.
func TestFalseToldFactorIsDoubted(t *testing.T) {
	for _, test := range []struct {
		percent int
		factor  float64
		doubted bool
	}{{250, 1, true}, {60, 2.5, true}, {250, 2.5, false}, {100, 1, false}, {150, 1, false}} {
		s := newServer(Options{})
		s.run(5*time.Second, 1)
		s.run(400*time.Millisecond, test.factor)
		for range 11 {
			s.run(200*time.Millisecond, test.factor)
			s.speed.Told(test.percent, s.now, s.now)
		}
		if got := s.speed.Doubts(); (got == 1) != test.doubted {
			t.Errorf("told %d%% at %v: %d doubts, want doubted=%v", test.percent, test.factor, got, test.doubted)
		}
		if !test.doubted {
			continue
		}
		near(t, fmt.Sprint("doubted ", test.percent), s.speed.Factor(s.now), test.factor, 0.35)
		if s.speed.Doubts() != 1 {
			t.Errorf("%d doubts, want 1 in 10 s", s.speed.Doubts())
		}
		s.run(9500*time.Millisecond, test.factor)
		s.speed.Told(test.percent, s.now, s.now)
		near(t, "told 9.5 s later", s.speed.Factor(s.now), test.factor, 0.35)
		s.run(500*time.Millisecond, test.factor)
		s.speed.Told(test.percent, s.now, s.now)
		near(t, "told 10 s later", s.speed.Factor(s.now), float64(test.percent)/100, 0.001)
	}
}

// Guards against a correct header that is judged false because the progress shows changes
// later.
func TestTrueToldFactorIsNotDoubted(t *testing.T) {
	s := newServer(Options{})
	s.run(5*time.Second, 1)
	for range 30 {
		for _, percent := range []int{100, 250} {
			for range 4 {
				s.speed.Told(percent, s.now, s.now)
				s.run(100*time.Millisecond, float64(percent)/100)
			}
		}
	}
	if n := s.speed.Doubts(); n != 0 {
		t.Errorf("%d doubts about true values", n)
	}
}

// Guards against a source that is used although another one was selected.
func TestSources(t *testing.T) {
	for _, test := range []struct {
		source Source
		want   float64
	}{{SourceBoth, 4}, {SourceProgress, 2.5}, {SourceTold, 4}, {SourceNone, 1}} {
		s := newServer(Options{Source: test.source})
		s.run(5*time.Second, 1)
		s.run(300*time.Millisecond, 2.5)
		s.speed.Told(400, s.now, s.now)
		near(t, fmt.Sprint("source ", test.source), s.speed.Factor(s.now), test.want, 0.35)
	}
}

// Guards against an expected hold that keeps its initial length, or goes below 0.
func TestLengthOfSlowPhasesIsLearned(t *testing.T) {
	s := newServer(Options{})
	if got := s.speed.SlowLeft(start); got != initialPhase {
		t.Errorf("initially %s are expected, want %s", got, initialPhase)
	}
	s.run(5*time.Second, 1)
	for range 40 {
		s.run(600*time.Millisecond, 2.5)
		s.run(600*time.Millisecond, 1)
	}
	got := s.speed.SlowLeft(s.now)
	if got < 500*time.Millisecond || got > 800*time.Millisecond {
		t.Errorf("%s are expected after phases of 600 ms", got)
	}
	s.run(300*time.Millisecond, 2.5)
	if left := s.speed.SlowLeft(s.now); left >= got || left <= 0 {
		t.Errorf("%s of %s are left in the middle of a phase", left, got)
	}
	s.run(3*time.Second, 2.5)
	if left := s.speed.SlowLeft(s.now); left <= 0 {
		t.Errorf("%s are left in a long phase", left)
	}
}

// Guards against a factor out of its bounds, NaN or a panic, whatever is reported.
func TestFactorStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(Options{Source: Source(rapid.IntRange(0, 3).Draw(t, "source"))}), start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			earlier := now.Add(-time.Duration(rapid.IntRange(-100, 400).Draw(t, "age")) * time.Millisecond)
			flag := rapid.Bool().Draw(t, "unread")
			work := time.Duration(rapid.IntRange(-5, 500).Draw(t, "work")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				runs := []Run{{"a", rapid.IntRange(0, 100).Draw(t, "a")}, {"b", rapid.IntRange(0, 100).Draw(t, "b")}}
				s.Report(runs, flag, earlier, now)
			case 1:
				s.Told(rapid.IntRange(-100, 20_000).Draw(t, "percent"), earlier, now)
			case 2:
				s.Read(earlier, now, work, flag)
			case 3:
				s.Unread(earlier, work, now)
			case 4:
				s.Restarted()
			}
			for _, f := range []float64{s.Factor(now), s.IndependentFactor(now)} {
				if !(f >= MinFactor && f <= MaxFactor) {
					t.Fatalf("the factor is %v", f)
				}
			}
			if left := s.SlowLeft(now); left <= 0 || left > maxPhase {
				t.Fatalf("%s are left of a phase", left)
			}
		}
	})
}

// Guards against decisions that change with the progress of servers that report no speed.
func TestProgressCountsOnlyIfTold(t *testing.T) {
	s := New(Options{OnlyIfTold: true})
	at := start.Add(190 * time.Millisecond)
	s.Read(start, at, 76*time.Millisecond, false)
	s.Unread(at, 10*time.Millisecond, at.Add(100*time.Millisecond))
	if f := s.Factor(at.Add(100 * time.Millisecond)); f != 1 {
		t.Errorf("the factor of a server that tells none is %v, want 1", f)
	}
	if f := s.IndependentFactor(at); f != 1 {
		t.Errorf("the factor for samples of a server that tells none is %v, want 1", f)
	}
	if _, known := s.Age(at); known {
		t.Error("the factor of a server that tells none is known")
	}
	s.Told(100, at, at)
	at = at.Add(time.Second)
	s.Read(at.Add(-190*time.Millisecond), at, 76*time.Millisecond, false)
	near(t, "once a speed was told", s.Factor(at), 2.5, 0.05)
	s.Restarted()
	s.Read(at, at.Add(190*time.Millisecond), 76*time.Millisecond, false)
	if f := s.Factor(at.Add(190 * time.Millisecond)); f != 1 {
		t.Errorf("the factor of a restarted server that tells none is %v, want 1", f)
	}
}
