// Package dispatch chooses the backend server of a request from a snapshot of
// what an entry knows: filters drop servers that cannot serve it, scorers
// estimate in seconds what each choice would cost its caller, and the lowest
// sum wins.
package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Residence says where an adapter stands at a server.
type Residence uint8

const (
	// Absent adapters would have to be loaded from the store.
	Absent Residence = iota
	// Loading adapters are on their way.
	Loading
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
	// Tokens and MemoryTokens are the memory taken and there; 0 when unknown.
	Tokens       int
	MemoryTokens int
	// Answer is the usual time to its first byte, 0 when unknown.
	Answer time.Duration
	// FailureShare is the share of its recent answers that were failures.
	FailureShare float64
	// Barred servers failed just now and get no request until it is time to
	// try them again.
	Barred bool
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
	// Tried are servers that this request was offered to before.
	Tried map[string]bool
}

// Costs in seconds of a caller's time.
const (
	// loadCost is what a load from the store takes, with the share of loads that
	// wait for one another. The engines' page gives 250 ms for a calm store.
	loadCost = 0.35
	// loadingCost is the rest of a load under way, half of it on average.
	loadingCost = 0.13
	// farCost makes a server of the own data centre win while it is not busier:
	// bytes between data centres are priced, their latency hardly counts.
	farCost = 0.05
	// pressureCost is what a full batch adds to the first token by slower steps.
	pressureCost = 0.15
	// queueCost is what each request beyond the batch adds: a batch of some
	// dozens turns over within a few seconds.
	queueCost = 0.06
	// failureCost is the price of a failed answer: about what a caller waits
	// until it tries again.
	failureCost = 3.0
	// spreadCost is the most by which servers that are otherwise alike differ
	// for one adapter, so that all entries send it to the same ones.
	spreadCost = 0.04
	// jitterCost keeps entries that see the same reports from choosing the same
	// server.
	jitterCost = 0.01
	// triedCost makes a server that was tried before the last choice.
	triedCost = 2.0
	// answerShare is how much of a server's usual time to its answer counts:
	// pressure is in it too.
	answerShare = 0.5
)

// crowded is the share of the batch above which pressure rises steeply.
const crowded = 0.8

// Pick returns the index of the best candidate, -1 when none can serve. draw
// gives random numbers in [0, 1).
func Pick(candidates []Candidate, r Request, draw func() float64) int {
	best, lowest := -1, 0.0
	for pass := range 2 {
		for i := range candidates {
			c := &candidates[i]
			// The second pass takes barred servers: better than none.
			if !c.Model || c.Barred && pass == 0 {
				continue
			}
			cost := Cost(c, &r) + jitterCost*draw()
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

// Cost estimates in seconds what a choice would cost.
func Cost(c *Candidate, r *Request) float64 {
	cost := residenceCost(c, r) + pressure(c, r) + answerShare*c.Answer.Seconds() + failureCost*c.FailureShare + c.Cold.Seconds() + c.Delay.Seconds()
	if c.DataCentre != r.DataCentre {
		cost += farCost
	}
	if r.Tried[c.ID] {
		cost += triedCost
	}
	return cost
}

func residenceCost(c *Candidate, r *Request) float64 {
	if r.Adapter == "" {
		return 0
	}
	switch c.Residence {
	case Resident:
		return 0
	case Loading:
		return loadingCost
	default:
		return loadCost + spreadCost*spread(r.Adapter, c.ID)
	}
}

// spread is a number in [0, 1) that is the same at all entries.
func spread(adapter, id string) float64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(adapter)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(id)
	return float64(h.Sum64()>>11) / (1 << 53)
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
