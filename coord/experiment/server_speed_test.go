package experiment

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/capacity"
	"github.com/rosemarypass/rosemarypass/coord/residency"
)

// speedPolicies are the ways to use the speed of an engine that are compared.
var speedPolicies = []struct {
	name string
	SpeedPolicy
}{
	{"today", SpeedPolicy{Source: capacity.SourceNone, Hold: residency.HoldNever}},
	{"progress/pace", SpeedPolicy{Source: capacity.SourceProgress, Hold: residency.HoldNever}},
	{"progress/hold", SpeedPolicy{Source: capacity.SourceProgress}},
	{"progress/avoid", SpeedPolicy{Source: capacity.SourceProgress, Hold: residency.HoldNever, Avoid: true}},
	{"progress/hold+avoid", SpeedPolicy{Source: capacity.SourceProgress, Avoid: true}},
	{"told/pace", SpeedPolicy{Source: capacity.SourceTold, Hold: residency.HoldNever}},
	{"told/hold", SpeedPolicy{Source: capacity.SourceTold}},
	{"told/avoid", SpeedPolicy{Source: capacity.SourceTold, Hold: residency.HoldNever, Avoid: true}},
	{"told/hold+avoid", SpeedPolicy{Source: capacity.SourceTold, Avoid: true}},
	{"both/pace", SpeedPolicy{Hold: residency.HoldNever}},
	{"both/hold", SpeedPolicy{}},
	{"both/avoid", SpeedPolicy{Hold: residency.HoldNever, Avoid: true}},
	{"both/hold, paced by baseline", SpeedPolicy{Pace: residency.PaceByBaseline}},
	{"both/hold+avoid", SpeedPolicy{Avoid: true}},
}

// shortPhases returns a short play of engines that are slow for half of the time.
func shortPhases(rate float64) SpeedLoad {
	load := SlowPhases(rate)
	load.Warm, load.Length = 8*time.Second, 8*time.Second
	return load
}

// Guards against streams that stall because long prompts are read in slow phases, and
// against a policy that prevents this but makes more first events late than it saves.
func TestHoldKeepsStreamsOnTime(t *testing.T) {
	for _, rate := range []float64{3, 6} {
		today := RunSpeed(shortPhases(rate), speedPolicies[0].SpeedPolicy, seed)
		held := RunSpeed(shortPhases(rate), SpeedPolicy{}, seed)
		t.Logf("rate %v: today %+v, held %+v", rate, today, held)
		if today.Asked == 0 || held.OnTimeShare() <= today.OnTimeShare() {
			t.Errorf("rate %v: %.1f%% are on time with holds and %.1f%% without", rate, held.OnTimeShare(), today.OnTimeShare())
		}
	}
}

// Guards against an estimate that errs on machines of constant speed and holds up their prompts.
func TestConstantSpeedHoldsNothingUp(t *testing.T) {
	load := shortPhases(6)
	load.CalmFor, load.Warm, load.Length = 0, 4*time.Second, 4*time.Second
	today := RunSpeed(load, speedPolicies[0].SpeedPolicy, seed)
	for _, policy := range speedPolicies[1:] {
		r := RunSpeed(load, policy.SpeedPolicy, seed)
		t.Logf("%s: %+v, today %+v", policy.name, r, today)
		if r.OnTimeShare() < today.OnTimeShare()-1 {
			t.Errorf("%s: %.1f%% are on time at constant speed, %.1f%% today", policy.name, r.OnTimeShare(), today.OnTimeShare())
		}
	}
}

// Guards against engines that always report a slow phase and hold their prompts for as long as they run.
func TestFalseHeaderHoldsLittle(t *testing.T) {
	load := shortPhases(3)
	load.CalmFor = 0
	today := RunSpeed(load, speedPolicies[0].SpeedPolicy, seed)
	for _, percent := range []int{60, 250} {
		r := RunSpeed(load, SpeedPolicy{False: percent}, seed)
		t.Logf("always %d%%: %+v, today %+v", percent, r, today)
		if r.Refused > today.Refused || r.OnTimeShare() < today.OnTimeShare()-2 {
			t.Errorf("always %d%%: %.1f%% are on time and %d refused, today %.1f%% and %d", percent, r.OnTimeShare(), r.Refused, today.OnTimeShare(), today.Refused)
		}
		if percent == 250 && r.Doubts == 0 {
			t.Error("the false speed was never doubted")
		}
	}
}

func TestSpeedIsDeterministic(t *testing.T) {
	load := shortPhases(6)
	load.Warm, load.Length = 2*time.Second, 3*time.Second
	if first, second := RunSpeed(load, SpeedPolicy{}, 7), RunSpeed(load, SpeedPolicy{}, 7); first != second {
		t.Errorf("results differ: %+v and %+v", first, second)
	}
}

// BenchmarkServerSpeed compares the ways to use the speed of an engine, on the same drawn
// sequences.
func BenchmarkServerSpeed(b *testing.B) {
	for _, rate := range []float64{3, 4.5, 6, 8, 10} {
		for _, policy := range speedPolicies {
			b.Run(fmt.Sprintf("rate=%v/%s", rate, policy.name), func(b *testing.B) {
				for b.Loop() {
					r := RunSpeed(SlowPhases(rate), policy.SpeedPolicy, seed)
					asked := float64(r.Asked) / 100
					b.ReportMetric(r.OnTimeShare(), "on-time-%")
					b.ReportMetric(float64(r.LateFirst)/asked, "late-first-%")
					b.ReportMetric(float64(r.LatePause)/asked, "late-pause-%")
					b.ReportMetric(float64(r.LateBoth)/asked, "late-both-%")
					b.ReportMetric(float64(r.Refused)/asked, "refused-%")
					b.ReportMetric(float64(r.Held), "held")
					b.ReportMetric(float64(r.HeldToEnd), "held-to-end")
					b.ReportMetric(float64(r.Declined)/asked, "declined-%")
				}
			})
		}
	}
}
