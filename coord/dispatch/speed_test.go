package dispatch

import (
	"math"
	"testing"
	"time"
)

// Guards against a slow phase that counts long after it has passed, and against factors
// out of bounds.
func TestFactorDecays(t *testing.T) {
	at := time.Unix(1000, 0)
	for _, test := range []struct {
		told float64
		age  time.Duration
		want float64
	}{
		{0, 0, 0}, {-1, 0, 0}, {math.NaN(), 0, 0}, {2.5, 0, 2.5}, {2.5, 300 * time.Millisecond, 1.75}, {2.5, 600 * time.Millisecond, 1.375}, {2.5, time.Minute, 1},
		{0.6, 0, 0.6}, {0.6, 300 * time.Millisecond, 0.8}, {0.6, time.Minute, 1}, {1, 100 * time.Millisecond, 1}, {2.5, -time.Second, 2.5},
		{100, 0, maxFactor}, {math.Inf(1), 0, maxFactor}, {0.001, 0, minFactor},
	} {
		var s Speed
		s.Tell(test.told, at)
		if got := s.Factor(at.Add(test.age)); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%v told %v ago counts as %v, want %v", test.told, test.age, got, test.want)
		}
		want := 100 * time.Millisecond
		if test.want > 0 {
			want = time.Duration(float64(want) * test.want)
		}
		if got := s.Scale(100*time.Millisecond, at.Add(test.age)); (got - want).Abs() > time.Microsecond {
			t.Errorf("%v told %v ago makes 100 ms take %v, want %v", test.told, test.age, got, want)
		}
	}
}

// Guards against a factor that is taken for one of another time.
func TestFactorSince(t *testing.T) {
	var s Speed
	at := time.Unix(1000, 0)
	if got := s.FactorSince(at); got != 0 {
		t.Errorf("nothing was told, and %v since then", got)
	}
	s.Tell(2.5, at)
	s.Tell(0, at.Add(time.Second))
	if got := s.FactorSince(at); got != 2.5 {
		t.Errorf("told %v, want 2.5", got)
	}
	if got := s.FactorSince(at.Add(1)); got != 0 {
		t.Errorf("told %v since then, want nothing", got)
	}
}

// Guards against a baseline that follows the phases of the machine: the next answer would count them twice.
func TestAnswerOfServerWithChangingSpeed(t *testing.T) {
	const usual = 100 * time.Millisecond
	for name, factors := range map[string][]float64{
		"always slow": {2.5}, "phases": {0.6, 1, 1.5, 2.5}, "usual": {1}, "not told": {0},
	} {
		var h Health
		for i := range 100 {
			factor := factors[i%len(factors)]
			h.Answered(time.Duration(float64(usual)*max(factor, min(1, 1-factor))), factor)
		}
		if diff := (h.Answer() - usual).Abs(); diff > time.Millisecond {
			t.Errorf("%s: the usual answer takes %v, want %v", name, h.Answer(), usual)
		}
	}
}

// Guards against servers that report the usual speed and are treated differently from
// those that report none.
func TestFactorOfOneChangesNothing(t *testing.T) {
	var told, untold Health
	var speed Speed
	now := time.Unix(1000, 0)
	for i := range 50 {
		took := time.Duration(i*i) * 317 * time.Microsecond
		told.Answered(took, 1)
		untold.Answered(took, 0)
		speed.Tell(1, now)
		now = now.Add(37 * time.Millisecond)
		if got := speed.Scale(told.Answer(), now); got != untold.Answer() {
			t.Fatalf("after %d answers %v and %v", i+1, got, untold.Answer())
		}
	}
	r := Request{DataCentre: "here", Prompt: 3000, Target: time.Second}
	a, b := candidate("s"), candidate("s")
	a.PromptTime, b.PromptTime, a.Slow = 50*time.Millisecond, 50*time.Millisecond, 1
	if got, want := Cost(&a, &r, 0), Cost(&b, &r, 0); got != want {
		t.Errorf("costs %v and %v", got, want)
	}
}

// Guards against long prompts that go to engines in slow phases beside others at the usual speed, and against an old
// report that keeps requests away.
func TestPickBySpeed(t *testing.T) {
	const reading = 50 * time.Millisecond
	for _, test := range []struct {
		name   string
		prompt int
		change func(first, second *Candidate)
		want   int
	}{
		{"equal engines", 1500, func(_, _ *Candidate) {}, 0},
		{"a slow engine", 1500, func(first, _ *Candidate) { first.Slow = 2.5 }, 1},
		{"a fast engine", 1500, func(_, second *Candidate) { second.Slow = 0.6 }, 1},
		{"a slow engine and no prompt", 0, func(first, _ *Candidate) { first.Slow = 2.5 }, 0},
		{"a slow phase that has passed", 1500, func(first, second *Candidate) {
			first.Slow, first.Age, second.Running = 2.5, 3*time.Second, 1
		}, 0},
		{"a slow engine before a queue", 1500, func(first, second *Candidate) { first.Slow, second.Delay = 2.5, 300*time.Millisecond }, 0},
		{"the prompt is held back", 1500, func(first, _ *Candidate) { first.HoldAbove, first.Hold = 1000, 200*time.Millisecond }, 1},
		{"a shorter prompt is not held back", 1000, func(first, _ *Candidate) { first.HoldAbove, first.Hold = 1000, 200*time.Millisecond }, 0},
		{"no prompt is held back", 1500, func(first, _ *Candidate) { first.Hold = 200 * time.Millisecond }, 0},
		{"the hold has passed", 1500, func(first, second *Candidate) {
			first.HoldAbove, first.Hold, first.Age, second.Running = 1000, 200*time.Millisecond, 200*time.Millisecond, 1
		}, 0},
		{"the shorter hold", 1500, func(first, second *Candidate) {
			first.HoldAbove, first.Hold, second.HoldAbove, second.Hold = 1000, 300*time.Millisecond, 1000, 100*time.Millisecond
		}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			candidates := []Candidate{candidate("one"), candidate("two")}
			for i := range candidates {
				candidates[i].PromptTime, candidates[i].Answer = reading, 100*time.Millisecond
			}
			test.change(&candidates[0], &candidates[1])
			r := Request{DataCentre: "here", Prompt: test.prompt, Target: time.Second}
			if got := Pick(candidates, r, noJitter).Index; got != test.want {
				t.Errorf("picked %d, want %d", got, test.want)
			}
		})
	}
}

// Guards against a factor that multiplies anything but the reading of the request's own prompt.
func TestFirstByteOfSlowEngine(t *testing.T) {
	c, r := candidate("s"), Request{Prompt: 2000, Target: time.Second}
	c.PromptTime, c.Answer, c.Delay = 50*time.Millisecond, 120*time.Millisecond, 40*time.Millisecond
	for _, test := range []struct {
		slow float64
		age  time.Duration
		want time.Duration
	}{
		{0, 0, 160 * time.Millisecond}, {1, 0, 160 * time.Millisecond}, {2.5, 0, 310 * time.Millisecond}, {2.5, speedHalfLife, 235 * time.Millisecond},
		{0.6, 0, 120 * time.Millisecond}, {FactorOf(100_000), 0, 860 * time.Millisecond}, {FactorOf(-300), 0, 160 * time.Millisecond},
	} {
		c.Slow, c.Age = test.slow, test.age
		if got := firstByte(&c, &r); (got - test.want).Abs() > time.Microsecond {
			t.Errorf("at the factor %v, told %v ago, the first byte takes %v, want %v", test.slow, test.age, got, test.want)
		}
	}
	c.Slow, c.Age, c.Answer, c.Delay = 0.2, 0, 0, 0
	if got := firstByte(&c, &r); got != 0 {
		t.Errorf("the first byte of a fast engine takes %v", got)
	}
}

// Guards against requests that their picked agent declines for a hold that the entry knew of, and against those that
// wait for a start that cannot come in time.
func TestHoldCountsAsDelayOfStart(t *testing.T) {
	c, r := candidate("s"), Request{Prompt: 2000, Target: time.Second}
	c.Delay, c.HoldAbove, c.Hold, c.Age = 40*time.Millisecond, 1000, 300*time.Millisecond, 50*time.Millisecond
	if got, want := startDelay(&c, &r), 290*time.Millisecond; got != want {
		t.Errorf("the start is delayed by %v, want %v", got, want)
	}
	other := candidate("t")
	other.Delay = 600 * time.Millisecond
	candidates := []Candidate{c, other}
	choice := Pick(candidates, r, noJitter)
	if choice.Index != 0 || choice.MaxDelay <= 290*time.Millisecond {
		t.Errorf("picked %d with the delay %v, want more than the hold", choice.Index, choice.MaxDelay)
	}
	var offers Offers
	if wait, hopeless := offers.Hopeless(&c, &r, 200*time.Millisecond); !hopeless || wait != 290*time.Millisecond {
		t.Errorf("hopeless: %v, wait %v", hopeless, wait)
	}
	r.Prompt = 1000
	if _, hopeless := offers.Hopeless(&c, &r, 200*time.Millisecond); hopeless {
		t.Error("a shorter prompt counts as hopeless")
	}
}

// Guards against a slow phase that counts twice: agents report the reading time of prompts at the current speed.
func TestReportedPromptTimeIsOfCurrentSpeed(t *testing.T) {
	c := candidate("s")
	c.SetLoad(&Load{PromptTime: 125 * time.Millisecond, Slow: 2.5}, Sent{}, 0)
	r := Request{Prompt: 2000}
	if got, want := promptExcess(&c, &r), 150*time.Millisecond; got != want {
		t.Errorf("2,000 tokens that take 100 ms at the usual speed take %v longer, want %v", got, want)
	}
}

// Guards against a decay that departs from its half-life, jumps or grows.
func TestRemainingIsExponential(t *testing.T) {
	before := 1.0
	for age := time.Duration(0); age < 20*speedHalfLife; age += time.Millisecond {
		got, want := remaining(age), math.Exp2(-float64(age)/float64(speedHalfLife))
		if age < maxHalvings*speedHalfLife && math.Abs(got-want) > 0.004*want || got > before || before-got > 0.0025 {
			t.Fatalf("after %v %v is left and %v 1 ms before, want %v", age, got, before, want)
		}
		before = got
	}
	if before != 0 {
		t.Errorf("%v is left in the end", before)
	}
}
