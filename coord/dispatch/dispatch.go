// Package dispatch chooses the backend server of a request from a snapshot of
// what an entry knows: filters drop servers that cannot serve it, scorers
// estimate in seconds what each choice would cost its caller, and the lowest
// sum wins.
package dispatch

import (
	"time"

	"github.com/rosemarypass/rosemarypass/coord/rendezvous"
)

// Residence says where an adapter stands at a server.
type Residence uint8

const (
	// Absent adapters would have to be loaded from the store.
	Absent Residence = iota
	// Near adapters were held lately: the server brings them from its own memory.
	Near
	// Stale adapters are held in an outdated version and in use.
	Stale
	// Resident adapters can start at once, as can requests without an adapter.
	Resident
)

// Candidate is a server as the entry knows it.
type Candidate struct {
	ID         string
	DataCentre string
	Residence  Residence
	// Batch is the most requests it runs at once, Running those that run or
	// were sent, Waiting those that wait at its agent.
	Batch   int
	Running int
	Waiting int
	// Delay is how long its agent would keep a start waiting.
	Delay time.Duration
	// LoadTime is how long an adapter that is asked for now would take to come.
	LoadTime time.Duration
	// Tokens and MemoryTokens are the memory taken and there; 0 when unknown.
	Tokens       int
	MemoryTokens int
	// Answer is the usual time to its first byte, 0 when unknown.
	Answer time.Duration
	// FailureShare is the share of its recent answers that were failures.
	FailureShare float64
	// Connected is true when a kept connection can be used.
	Connected bool
	// Barred servers failed just now and get no request until it is time to
	// try them again.
	Barred bool
	// Age is how old the agent's report is; it is shown, not weighed.
	Age time.Duration
	// Model is false when the server does not hold the request's base model.
	Model bool
	// Cold is how much longer the server is slow after its start.
	Cold time.Duration
}

// Request is what has to be placed.
type Request struct {
	// Adapter keeps requests of one adapter together; empty without one.
	Adapter    string
	DataCentre string
	Tokens     int
	// Rank is its urgency; 0 is first.
	Rank int
	// Target is the time to the first byte that the caller hopes for, Spent how
	// much of it is gone.
	Target time.Duration
	Spent  time.Duration
	// Tried are servers that this request was offered to before.
	Tried map[string]bool
}

// Costs, in shares of what an answer loses by being late.
const (
	// loadCost is what a load from the store is worth, at any engine; homeCost
	// what it is at the first engines of the adapter's own order: they have most
	// likely held it before, and bring it from their own memory in a tenth of
	// the time.
	loadCost  = 0.45
	homeCost  = 0.12
	homeStep  = 0.18
	homeRanks = 2
	// nearCost makes a server that held the adapter lately the next choice behind
	// those that hold it now.
	nearCost = 0.06
	// staleCost makes an engine that must first finish its running requests the
	// last choice of those that can be had.
	staleCost = 0.55
	// farCost makes a server of the own data centre win while it is about as
	// free: bytes between data centres are priced, their latency hardly counts.
	farCost = 0.04
	// connectCost is that of a new connection: servers count them, and each may
	// hold one of their slots for a moment.
	connectCost = 0.03
	// waitCost is what a whole target's wait costs an answer in time: some
	// callers leave, and the next request finds a longer queue.
	waitCost = 0.25
	// pressureCost is what a full batch costs by slower steps.
	pressureCost = 0.15
	// queueCost is what each request beyond the batch adds: a batch of some
	// dozens turns over within a few seconds.
	queueCost = 0.06
	// failureCost is the price of a failed answer.
	failureCost = 2.5
	// jitterCost keeps entries that see the same reports from choosing the same
	// server.
	jitterCost = 0.01
	// triedCost makes a server that was tried before the last choice.
	triedCost = 2.0
)

const (
	// staleTime is what running requests usually need to end.
	staleTime = 1500 * time.Millisecond
	// nearShare is how much sooner an adapter comes from the server's own memory
	// than from the store, as the platform's pages have it.
	nearShare = 0.1
	// lateFrom is the share of the target from which on being late grows likely,
	// lateBy where it is certain.
	lateFrom = 0.75
	lateBy   = 1.25
)

// crowded is the share of the batch above which pressure rises steeply.
const crowded = 0.8

// Pick returns the index of the best candidate, -1 when none can serve. draw
// gives random numbers in [0, 1).
func Pick(candidates []Candidate, r Request, draw func() float64) int {
	best, lowest := -1, 0.0
	homes := homeOrder(candidates, r.Adapter)
	shared := sharedFailures(candidates)
	for pass := range 2 {
		for i := range candidates {
			c := &candidates[i]
			// The second pass takes barred servers: better than none.
			if !c.Model || c.Barred && pass == 0 {
				continue
			}
			cost := Cost(c, &r, homes[c.ID]) + failureCost*max(c.FailureShare-shared, 0) + jitterCost*draw()
			if best < 0 || cost < lowest {
				best, lowest = i, cost
			}
		}
		if best >= 0 {
			return best
		}
	}
	return -1
}

// homeOrder ranks the servers for an adapter by a hash that all entries share;
// the first rank is 1. Ranks from homeRanks on are left out.
func homeOrder(candidates []Candidate, adapter string) map[string]int {
	if adapter == "" {
		return nil
	}
	homes := make(map[string]int, homeRanks)
	for rank := 1; rank <= homeRanks; rank++ {
		first, highest := "", uint64(0)
		for i := range candidates {
			id := candidates[i].ID
			if homes[id] > 0 || !candidates[i].Model {
				continue
			}
			if h := rendezvous.Weight(adapter, id); first == "" || h > highest {
				first, highest = id, h
			}
		}
		if first != "" {
			homes[first] = rank
		}
	}
	return homes
}

// Cost estimates what a choice would cost, failures aside; home is the server's rank for the
// adapter, 0 when it has none.
func Cost(c *Candidate, r *Request, home int) float64 {
	wait := c.Delay + c.Answer + c.Cold + residenceTime(c, r)
	cost := residenceCost(c, r, home) + pressure(c, r) + lateness(wait, r)
	if c.DataCentre != r.DataCentre {
		cost += farCost
	}
	if !c.Connected {
		cost += connectCost
	}
	if r.Tried[c.ID] {
		cost += triedCost
	}
	return cost
}

// lateness is the cost of a first byte after some wait.
func lateness(wait time.Duration, r *Request) float64 {
	if r.Target <= 0 {
		return wait.Seconds()
	}
	share := float64(wait+r.Spent) / float64(r.Target)
	late := (share - lateFrom) / (lateBy - lateFrom)
	return waitCost*share + min(max(late, 0), 1)
}

func residenceTime(c *Candidate, r *Request) time.Duration {
	switch {
	case r.Adapter == "" || c.Residence == Resident:
		return 0
	case c.Residence == Stale:
		return staleTime
	case c.Residence == Near:
		return time.Duration(nearShare * float64(c.LoadTime))
	default:
		return c.LoadTime
	}
}

func residenceCost(c *Candidate, r *Request, home int) float64 {
	switch {
	case r.Adapter == "" || c.Residence == Resident:
		return 0
	case c.Residence == Stale:
		return staleCost
	case c.Residence == Near:
		return nearCost
	case home > 0:
		return min(homeCost+homeStep*float64(home-1), loadCost)
	default:
		return loadCost
	}
}

func pressure(c *Candidate, r *Request) float64 {
	if c.Batch <= 0 {
		return queueCost * float64(c.Running+c.Waiting)
	}
	use := float64(c.Running) / float64(c.Batch)
	if c.MemoryTokens > 0 {
		use = max(use, float64(c.Tokens+r.Tokens)/float64(c.MemoryTokens))
	}
	cost := pressureCost * use
	if use > crowded {
		cost += 2 * (use - crowded)
	}
	over := max(c.Running+c.Waiting-c.Batch, 0)
	return cost + queueCost*float64(over)
}
