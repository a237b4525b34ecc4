// Package backoff decides how long a process pauses before it retries a failed
// operation. Many processes that fail for the same reason, at the same peer, must
// not sustain the failure by their retries.
//
// It is deterministic: the caller passes the time and the random number.
package backoff

import "time"

// growthDivisor divides the time since the first failure to get the minimum pause. A
// recovery is therefore noticed with a delay of at most that part of the outage.
const growthDivisor = 8

// jitter is the fraction by which a pause is randomly shortened or lengthened, so
// that processes that failed at the same time do not retry at the same time.
const jitter = 0.25

// Options configures the retries of one operation.
type Options struct {
	// Initial is the pause after the first failure, Max the maximum pause.
	Initial time.Duration
	Max     time.Duration
	// Rate is the maximum number of retries per second of all processes that share
	// the operation; 0 means no limit. It takes precedence over Max.
	Rate float64
}

// Pause returns the pause before the next retry of an operation that has failed
// for the given time and is shared by the given number of processes. random is a
// random number, uniform in [0, 1).
func (o Options) Pause(outage time.Duration, sharing int, random float64) time.Duration {
	pause := min(max(o.Initial, outage/growthDivisor), o.Max)
	if o.Rate > 0 {
		pause = max(pause, time.Duration(float64(sharing)/o.Rate*float64(time.Second)))
	}
	return time.Duration(float64(pause) * (1 - jitter + 2*jitter*random))
}

// Outage tracks a run of consecutive failures. The zero value is an empty run.
type Outage struct{ since time.Time }

// Failed records a failure and returns the time since the first one of the run.
func (t *Outage) Failed(now time.Time) time.Duration {
	if t.since.IsZero() {
		t.since = now
	}
	return now.Sub(t.since)
}

// Elapsed returns the time since the first failure of the run, 0 if there is none.
func (t *Outage) Elapsed(now time.Time) time.Duration {
	if t.since.IsZero() {
		return 0
	}
	return now.Sub(t.since)
}

// Succeeded records a success, which ends the run.
func (t *Outage) Succeeded() { t.since = time.Time{} }

// Timeout returns the timeout of a request when requests have failed for the given
// time. It grows from first to most. If all answers are late because of the load,
// requests that time out and are repeated add to the load; the timeout must
// eventually be long enough for an answer.
func Timeout(first, most, outage time.Duration) time.Duration {
	return min(max(first, outage/2), most)
}
