// Package backoff decides how long a process pauses before it tries again what
// has failed. Many processes that fail for the same reason, and at the same peer,
// must not keep that reason up by their tries.
//
// It is pure: the caller passes the time and the random number.
package backoff

import "time"

// growth is which part of the time since the trouble began a pause lasts at the
// least. What is there again is found late by no more than that part.
const growth = 8

// spread is by how much of itself a pause is drawn shorter or longer, so that
// those who failed at the same moment do not try again at the same moment.
const spread = 0.25

// Options bound the tries at one matter.
type Options struct {
	// First is the pause behind the first failure, Most the longest one.
	First time.Duration
	Most  time.Duration
	// Rate is how many tries a second all processes that share the matter may make
	// together; 0 leaves them unbounded. It goes before Most.
	Rate float64
}

// Pause is the pause before the next try, when the trouble has lasted for so long
// and so many processes share the matter. random is uniform in [0, 1).
func (o Options) Pause(trouble time.Duration, sharing int, random float64) time.Duration {
	pause := min(max(o.First, trouble/growth), o.Most)
	if o.Rate > 0 {
		pause = max(pause, time.Duration(float64(sharing)/o.Rate*float64(time.Second)))
	}
	return time.Duration(float64(pause) * (1 - spread + 2*spread*random))
}

// Trouble is a run of failures. The zero value is none.
type Trouble struct{ since time.Time }

// Failed notes a failure and returns how long they have lasted.
func (t *Trouble) Failed(now time.Time) time.Duration {
	if t.since.IsZero() {
		t.since = now
	}
	return now.Sub(t.since)
}

// Lasts returns how long failures have lasted, 0 while there is no trouble.
func (t *Trouble) Lasts(now time.Time) time.Duration {
	if t.since.IsZero() {
		return 0
	}
	return now.Sub(t.since)
}

// Over notes a success.
func (t *Trouble) Over() { t.since = time.Time{} }

// Patience is how long an answer is awaited, between a first and a longest time, when
// failures have lasted for so long. Where all answers are late because of the load,
// those that give up and ask anew add to it; one of them must be waited for in the end.
func Patience(first, most, trouble time.Duration) time.Duration {
	return min(max(first, trouble/2), most)
}
