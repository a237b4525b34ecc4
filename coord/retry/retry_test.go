package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/retry"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestNext(t *testing.T) {
	limits := retry.Limits{Attempts: 3, Ratio: 0.5, PerContract: 2, Total: 3, Base: 10 * time.Millisecond, Max: 15 * time.Millisecond}
	cases := []struct {
		name  string
		ended retry.Ended
		want  retry.Decision
	}{
		{"may have run", retry.Ended{Attempt: 1, Outcome: outcome.Unknown}, retry.Decision{Reason: retry.ReasonMayHaveRun}},
		{"not run", retry.Ended{Attempt: 1, Outcome: outcome.NotRun}, retry.Decision{Again: true}},
		{"repeatable", retry.Ended{Attempt: 1, Idempotent: true, Jitter: 0.5}, retry.Decision{Again: true, After: 5 * time.Millisecond}},
		{"longer pause, bounded", retry.Ended{Attempt: 2, Idempotent: true, Jitter: 0.5}, retry.Decision{Again: true, After: 7500 * time.Microsecond}},
		{"last attempt", retry.Ended{Attempt: 3, Idempotent: true}, retry.Decision{Reason: retry.ReasonAttempts}},
		{"past the deadline", retry.Ended{Attempt: 1, Idempotent: true, Jitter: 0.5, Deadline: now.Add(5 * time.Millisecond)}, retry.Decision{Reason: retry.ReasonDeadline}},
	}
	for _, c := range cases {
		c.ended.Now = now
		if got := retry.NewBudget(limits).Next(c.ended); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

func TestBudgetsAreSeparateAndRefilled(t *testing.T) {
	budget := retry.NewBudget(retry.Limits{Attempts: 3, Ratio: 0.5, PerContract: 2, Total: 3})
	next := func(contract string) retry.Reason {
		return budget.Next(retry.Ended{Contract: contract, Attempt: 1, Idempotent: true, Now: now}).Reason
	}
	steps := []struct {
		contract string
		want     retry.Reason
	}{
		{"a", retry.ReasonNone}, {"a", retry.ReasonNone}, {"a", retry.ReasonContractBudget},
		{"b", retry.ReasonNone}, {"b", retry.ReasonTotalBudget},
	}
	for i, step := range steps {
		if got := next(step.contract); got != step.want {
			t.Errorf("step %d: %q, want %q", i, got, step.want)
		}
	}
	budget.Began("a")
	budget.Began("a")
	if got := next("a"); got != retry.ReasonNone {
		t.Errorf("after two first attempts: %q", got)
	}
}

// Half of the servers die at once, and those that are left cannot carry the
// whole load. Naive retries multiply that load just then, and callers who
// would have been served are refused too.
func TestRetriesDoNotStormWhenHalfTheServersDie(t *testing.T) {
	naive := storm(func(_ int, attempt int, _ *rand.Rand) bool { return attempt < 6 })
	budget := retry.NewBudget(retry.DefaultLimits)
	ours := storm(func(_ int, attempt int, random *rand.Rand) bool {
		if attempt == 0 {
			budget.Began("c")
			return true
		}
		return budget.Next(retry.Ended{Contract: "c", Attempt: attempt, Idempotent: true, Now: now, Jitter: random.Float64()}).Again
	})
	t.Logf("attempts per request: ours %.2f, naive %.2f", ours, naive)
	if most := 1 + retry.DefaultLimits.Ratio + retry.DefaultLimits.PerContract/stormRequests; ours > most {
		t.Errorf("%.3f attempts per request, more than the budget's %.3f", ours, most)
	}
	if naive < 2*ours {
		t.Errorf("naive retries make %.2f attempts per request: the storm is missing", naive)
	}
}

const stormRequests = 20_000

// storm sends requests to 20 servers of which 10 are dead and 10 take 60 in
// each step of 1000 requests, and returns the attempts per request.
func storm(again func(request, attempt int, random *rand.Rand) bool) float64 {
	random := rand.New(rand.NewPCG(3, 5))
	attempts := 0
	var taken [20]int
	for request := range stormRequests {
		if request%1000 == 0 {
			taken = [20]int{}
		}
		for attempt := 0; again(request, attempt, random); attempt++ {
			attempts++
			server := random.IntN(20)
			if server >= 10 && taken[server] < 60 {
				taken[server]++
				break
			}
		}
	}
	return float64(attempts) / stormRequests
}

// Both edges ask this of an attempt that failed. A wrong answer runs a booking twice, or gives up a read that another
// server would have answered.
func TestWhetherARequestMayBeOfferedAgain(t *testing.T) {
	tests := []struct {
		name string
		fate retry.Fate
		want retry.Reason
	}{
		{"a booking that did not run", retry.Fate{Outcome: outcome.NotRun, Attempts: 1, Most: 2}, retry.ReasonNone},
		{"a booking that may have run", retry.Fate{Outcome: outcome.Unknown, Attempts: 1, Most: 2}, retry.ReasonMayHaveRun},
		{"a read that may have run", retry.Fate{Outcome: outcome.Unknown, Idempotent: true, Attempts: 1, Most: 2}, retry.ReasonNone},
		{"a read that had its attempts", retry.Fate{Outcome: outcome.Unknown, Idempotent: true, Attempts: 2, Most: 2}, retry.ReasonAttempts},
		{"a booking that had its attempts and never ran", retry.Fate{Outcome: outcome.NotRun, Attempts: 2, Most: 2}, retry.ReasonAttempts},
	}
	for _, test := range tests {
		if got := test.fate.Refusal(); got != test.want {
			t.Errorf("%s: %q, want %q", test.name, got, test.want)
		}
	}
}
