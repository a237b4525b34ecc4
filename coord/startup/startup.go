// Package startup decides which requests wait at an entry that has just started.
//
// The load that it answers: all processes stop at once and come back within
// moments, and callers send on all the while. An entry then knows neither the
// configuration nor the servers for some tenths of a second. A caller that is
// refused comes back once, together with all others that were, into the queue
// that they make; one that waits is served as soon as it can be. An entry that
// has been up for longer knows that nothing is there, and refuses at once.
package startup

import "time"

// Options bound the waiting.
type Options struct {
	// Settle is how long after its start an entry may still learn what the others
	// know: some heartbeats of the servers.
	Settle time.Duration
	// Most is the most requests that wait at once.
	Most int
}

// patienceShare is the part of a caller's patience that may pass in waiting where
// nothing else is known of its request: the rest is enough to come back once.
const patienceShare = 3

// Latest is until when a request waits of which nothing is known but when it
// arrived and how long its caller waits; 0 when the caller did not say.
func (o Options) Latest(arrived time.Time, patience time.Duration) time.Time {
	if patience <= 0 {
		patience = patienceShare * o.Settle
	}
	return arrived.Add(patience / patienceShare)
}

// Until is how long a request waits at an entry that started at a time, where so
// many wait already and a start behind latest is of no use. ok is false for one
// that is refused at once.
func (o Options) Until(started, now, latest time.Time, waiting int) (until time.Time, ok bool) {
	until = started.Add(o.Settle)
	if latest.Before(until) {
		until = latest
	}
	return until, waiting < o.Most && until.After(now)
}
