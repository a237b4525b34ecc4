package dispatch

import "time"

// Offers bounds how often one request is declined by the agents of the servers it
// is offered to. The zero value is ready to use.
type Offers struct{ declined int }

// maxDeclined is the number of declines after which a request waits at the server
// that is picked next: each decline takes a round trip.
const maxDeclined = 4

// Conditions are the conditions under which an agent takes a request.
type Conditions struct {
	// MaxDelay is the delay of the start beyond which the agent declines; 0 for no
	// limit.
	MaxDelay time.Duration
	// OnlyIfHeld makes the agent decline unless the engine holds the adapter or is
	// loading it.
	OnlyIfHeld bool
}

// Conditions returns the conditions for an offer to the picked candidate. left is
// how long the caller waits for the start.
func (o *Offers) Conditions(choice Choice, c *Candidate, left time.Duration) Conditions {
	if o.declined >= maxDeclined {
		return Conditions{}
	}
	limit := left
	if choice.MaxDelay > 0 {
		limit = min(limit, choice.MaxDelay)
	}
	return Conditions{MaxDelay: max(limit, time.Millisecond), OnlyIfHeld: c.Residence == Resident}
}

// Declined records that an agent has declined the request.
func (o *Offers) Declined() { o.declined++ }

// DeclinedCount returns how many agents have declined the request.
func (o *Offers) DeclinedCount() int { return o.declined }

// Hopeless reports whether the candidate, the best one, cannot start the request
// while its caller waits, and how long its start would take. Until agents have
// declined the request, an old report may be the reason, and the agent is asked.
func (o *Offers) Hopeless(c *Candidate, r *Request, left time.Duration) (wait time.Duration, hopeless bool) {
	if o.declined < maxDeclined && c.Age > freshAge {
		return 0, false
	}
	wait = startDelay(c, r) + residenceTime(c, r)
	return wait, wait > left
}

// Wait returns how long the request waits for its start at the candidate before it
// is offered to another one.
func (o *Offers) Wait(c *Candidate, r *Request, left time.Duration) time.Duration {
	wait := leastWait
	if !needsLoad(c, r) && r.Target > 0 {
		wait = min(wait, time.Duration(lateStart*float64(r.Target)))
	}
	return min(left, max(wait, time.Duration(waitPerDelay*float64(startDelay(c, r)+residenceTime(c, r)))))
}

const (
	// leastWait is the shortest wait for an engine that has to load the adapter:
	// another engine would request it from the same store again. A request whose
	// adapter is there waits until its answer is likely to be late.
	leastWait = 1200 * time.Millisecond
	// waitPerDelay is the wait in relation to the expected one: a request that gives
	// up its place begins at the end of another queue.
	waitPerDelay = 1.25
)

// freshAge is the age up to which a report is taken to hold still.
const freshAge = 100 * time.Millisecond
