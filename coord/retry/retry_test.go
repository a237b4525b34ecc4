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
		ended retry.EndedAttempt
		want  retry.Decision
	}{
		{"may have run", retry.EndedAttempt{Attempt: 1, Outcome: outcome.Unknown}, retry.Decision{Reason: retry.ReasonMayHaveRun}},
		{"not run", retry.EndedAttempt{Attempt: 1, Outcome: outcome.NotRun}, retry.Decision{Retry: true}},
		{"idempotent", retry.EndedAttempt{Attempt: 1, Idempotent: true, Jitter: 0.5}, retry.Decision{Retry: true, After: 5 * time.Millisecond}},
		{"longer pause, bounded", retry.EndedAttempt{Attempt: 2, Idempotent: true, Jitter: 0.5}, retry.Decision{Retry: true, After: 7500 * time.Microsecond}},
		{"last attempt", retry.EndedAttempt{Attempt: 3, Idempotent: true}, retry.Decision{Reason: retry.ReasonAttempts}},
		{"past the deadline", retry.EndedAttempt{Attempt: 1, Idempotent: true, Jitter: 0.5, Deadline: now.Add(5 * time.Millisecond)}, retry.Decision{Reason: retry.ReasonDeadline}},
	}
	for _, c := range cases {
		c.ended.Now = now
		if got := retry.NewBudget(limits).Next(c.ended); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

func TestBudgetsAreSeparateAndReplenished(t *testing.T) {
	budget := retry.NewBudget(retry.Limits{Attempts: 3, Ratio: 0.5, PerContract: 2, Total: 3})
	next := func(contract string) retry.Reason {
		return budget.Next(retry.EndedAttempt{Contract: contract, Attempt: 1, Idempotent: true, Now: now}).Reason
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
	budget.RecordRequest("a")
	budget.RecordRequest("a")
	if got := next("a"); got != retry.ReasonNone {
		t.Errorf("after two first attempts: %q, want a retry", got)
	}
}

// Half of the servers fail at once, and the remaining ones cannot serve the whole
// load. Naive retries multiply the load in this situation, so that requests are
// refused that would otherwise have been served.
func TestBudgetPreventsRetryStorm(t *testing.T) {
	naive := storm(func(_ int, attempt int, _ *rand.Rand) bool { return attempt < 6 })
	budget := retry.NewBudget(retry.DefaultLimits)
	budgeted := storm(func(_ int, attempt int, random *rand.Rand) bool {
		if attempt == 0 {
			budget.RecordRequest("c")
			return true
		}
		return budget.Next(retry.EndedAttempt{Contract: "c", Attempt: attempt, Idempotent: true, Now: now, Jitter: random.Float64()}).Retry
	})
	t.Logf("attempts per request: with budget %.2f, naive %.2f", budgeted, naive)
	if limit := 1 + retry.DefaultLimits.Ratio + retry.DefaultLimits.PerContract/stormRequests; budgeted > limit {
		t.Errorf("%.3f attempts per request with a budget, want at most %.3f", budgeted, limit)
	}
	if naive < 2*budgeted {
		t.Errorf("naive retries make %.2f attempts per request, want at least twice those with a budget", naive)
	}
}

const stormRequests = 20_000

// storm sends requests to 20 servers, of which 10 have failed and 10 accept 60
// requests in each step of 1000, and returns the attempts per request.
func storm(proceed func(request, attempt int, random *rand.Rand) bool) float64 {
	random := rand.New(rand.NewPCG(3, 5))
	attempts := 0
	var taken [20]int
	for request := range stormRequests {
		if request%1000 == 0 {
			taken = [20]int{}
		}
		for attempt := 0; proceed(request, attempt, random); attempt++ {
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

// A wrong result of Refusal would run a booking twice, or fail a read that another server would have answered.
func TestRefusal(t *testing.T) {
	tests := []struct {
		name    string
		failure retry.Failure
		want    retry.Reason
	}{
		{"a booking that did not run", retry.Failure{Outcome: outcome.NotRun, Attempts: 1, MaxAttempts: 2}, retry.ReasonNone},
		{"a booking that may have run", retry.Failure{Outcome: outcome.Unknown, Attempts: 1, MaxAttempts: 2}, retry.ReasonMayHaveRun},
		{"a read that may have run", retry.Failure{Outcome: outcome.Unknown, Idempotent: true, Attempts: 1, MaxAttempts: 2}, retry.ReasonNone},
		{"a read without attempts left", retry.Failure{Outcome: outcome.Unknown, Idempotent: true, Attempts: 2, MaxAttempts: 2}, retry.ReasonAttempts},
		{"a booking that never ran, without attempts left", retry.Failure{Outcome: outcome.NotRun, Attempts: 2, MaxAttempts: 2}, retry.ReasonAttempts},
	}
	for _, test := range tests {
		if got := test.failure.Refusal(); got != test.want {
			t.Errorf("%s: %q, want %q", test.name, got, test.want)
		}
	}
}
