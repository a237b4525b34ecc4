// Package startup decides which requests wait at an entry that has just started.
//
// It covers the case in which all processes stop and restart within moments while
// callers keep sending requests. An entry then knows neither the configuration nor
// the servers for a few tenths of a second. A caller that is refused retries at the
// same time as all other refused callers and joins the queue that they form; a
// request that waits is served as soon as possible. An entry that has been up for
// longer knows that no server is available, and refuses immediately.
package startup

import "time"

// Options limits how long and how many requests wait.
type Options struct {
	// Settle is the time after its start within which an entry may still learn the
	// state of the others: a few heartbeats of the servers.
	Settle time.Duration
	// MaxWaiting is the maximum number of requests that wait at once.
	MaxWaiting int
}

// timeoutDivisor divides the caller's timeout: a request about which nothing else
// is known waits for at most a third of it. The rest is enough for one retry.
const timeoutDivisor = 3

// Latest returns the time until which a request waits if only its arrival and its
// caller's timeout are known. A timeout of 0 means that the caller did not give
// one.
func (o Options) Latest(arrived time.Time, timeout time.Duration) time.Time {
	if timeout <= 0 {
		timeout = timeoutDivisor * o.Settle
	}
	return arrived.Add(timeout / timeoutDivisor)
}

// Until returns the time until which a request waits at an entry that started at
// started and at which waiting other requests wait. It is no later than latest,
// after which the request should no longer be started. ok is false if the request
// is refused immediately.
func (o Options) Until(started, now, latest time.Time, waiting int) (until time.Time, ok bool) {
	until = started.Add(o.Settle)
	if latest.Before(until) {
		until = latest
	}
	return until, waiting < o.MaxWaiting && until.After(now)
}
