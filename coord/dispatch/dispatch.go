// Package dispatch chooses the backend server for a request from a snapshot of
// the servers as known to an entry. Servers without the request's base model are
// excluded, and those in backoff or silent are used only if there is no other. Of the
// remaining ones, the server with the lowest estimated cost for the caller is
// picked.
//
// The snapshots of many entries are up to seconds old and differ. The entries agree
// without a message of their own: the agent of the picked server knows its load and
// declines at once what another server would serve sooner (Choice.MaxDelay), which
// brings the entry up to date for its next pick (Offers).
package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/rendezvous"
)

// Residence is the state of an adapter at a server.
type Residence uint8

const (
	// Absent adapters have to be loaded from the store.
	Absent Residence = iota
	// RecentlyHeld adapters were held recently: the server reloads them from its own
	// memory.
	RecentlyHeld
	// Stale adapters are held in an outdated version that is in use.
	Stale
	// Resident adapters can start at once, as can requests without an adapter.
	Resident
)

// Candidate is a server as known to the entry.
type Candidate struct {
	ID         string
	DataCentre string
	Residence  Residence
	// Batch is the maximum number of requests that the server runs at once,
	// Running the number that run or were sent, and Waiting the number queued at
	// its agent.
	Batch   int
	Running int
	Waiting int
	// LoadSource is the origin of Running.
	LoadSource LoadSource
	// Delay is how long the agent would delay the start of a request.
	Delay time.Duration
	// SlotDelay is how long an adapter that is requested now would wait for a slot,
	// LoadTime how long it would then take to load.
	SlotDelay time.Duration
	LoadTime  time.Duration
	// Tokens is the memory in use and MemoryTokens the total, both in tokens; 0
	// when unknown.
	Tokens       int
	MemoryTokens int
	// Answer is the expected time to the first byte of the server's answers, 0 when
	// unknown.
	Answer time.Duration
	// Slow is how long work takes on the server's machine, as a factor of the usual
	// time, as of the agent's report and within the bounds of FactorOf; 0 when
	// unknown. PromptTime is the usual time to read 1,000 prompt tokens.
	Slow       float64
	PromptTime time.Duration
	// HoldAbove is the number of prompt tokens above which the agent holds starts
	// back as of its report, 0 for none; Hold is for how long.
	HoldAbove int
	Hold      time.Duration
	// FailureShare is the share of failures among the server's recent answers.
	FailureShare float64
	// Connected reports whether an open connection can be reused.
	Connected bool
	// Due servers name a rate and have not been asked for a while whether they still do: only their answers
	// to requests tell.
	Due bool
	// InBackoff servers failed recently and get no requests until their backoff
	// ends.
	InBackoff bool
	// Age is the age of the agent's report. Slow and Hold lose weight with it; it
	// does not enter the cost otherwise.
	Age time.Duration
	// Silent servers stand on a machine that has stopped answering; they get no
	// requests while there are others.
	Silent bool
	// Model reports whether the server holds the request's base model.
	Model bool
	// Excluded servers must not get the request: a stream that goes on must not go to a
	// server of another software version.
	Excluded bool
	// WarmUp is how much longer the server stays slow after its start.
	WarmUp time.Duration
}

// Request is a request to be placed.
type Request struct {
	// Adapter is the adapter of the request, by which requests are kept together;
	// empty without one.
	Adapter    string
	DataCentre string
	// Prompt is the number of prompt tokens, Tokens the number of all tokens.
	Prompt int
	Tokens int
	// Rank is the urgency of the request; 0 goes first.
	Rank int
	// Target is the caller's target for the time to the first byte, and Spent how
	// much of it has passed.
	Target time.Duration
	Spent  time.Duration
	// WithinShare is set if the request's team is known to be within its share: agents
	// start such requests before those of teams above their shares.
	WithinShare bool
	// Left is how long the caller still waits for the start; 0 when unknown.
	Left time.Duration
	// Tried holds the servers that this request was already offered to.
	Tried map[string]bool
}

// Costs are relative to that of an answer that is certain to be late, which is 1 in
// addition to waitCost for the wait. For a request without a target, a wait costs 1
// per second instead.
const (
	// loadCost is the cost of a load from the store on any engine. homeCost is
	// the cost on the first engine of the adapter's rendezvous order, and homeStep
	// is added for each further one, up to homeRanks: these engines have most
	// likely held the adapter before and reload it from their own memory in a
	// tenth of the time.
	loadCost  = 0.45
	homeCost  = 0.12
	homeStep  = 0.18
	homeRanks = 2
	// copyStep is added to loadCost for each further engine of the rendezvous order,
	// up to copyRanks: entries that find all holders full bring the same further
	// copy instead of one each.
	copyStep  = 0.02
	copyRanks = 8
	// recentCost ranks a server that held the adapter recently right behind those
	// that hold it now.
	recentCost = 0.06
	// staleCost makes an engine that must first finish its running requests the
	// last choice among the available servers.
	staleCost = 0.55
	// remoteCost makes a server of the own data centre win while its load is
	// about the same: traffic between data centres costs money, while its latency
	// hardly matters.
	remoteCost = 0.04
	// connectCost is the cost of a new connection: servers limit connections, and
	// each may briefly occupy one of their slots.
	connectCost = 0.03
	// waitCost is the cost of a wait as long as the request's target, to which the
	// cost is proportional even if the answer is in time: some callers leave, and
	// the next request finds a longer queue.
	waitCost = 0.25
	// pressureCost is the cost of a full batch due to slower steps; it is
	// proportional to the use of the batch or of the memory. Above
	// pressureThreshold more is added.
	pressureCost = 0.15
	// queueCost is added for each request beyond the batch: a batch of a few
	// dozen requests turns over within a few seconds.
	queueCost = 0.06
	// dueGain makes a server that is due win against others that stand as well, but for a new connection
	// and the distance.
	dueGain = connectCost + remoteCost + jitterCost
	// failureCost is the cost of a failed answer, multiplied by the server's share
	// of failures beyond the share common to all servers.
	failureCost = 2.5
	// jitterCost is the maximum random cost, which keeps entries with the same
	// reports from all choosing the same server.
	jitterCost = 0.01
	// unservedCost is the cost of a wait after which the caller has left.
	unservedCost = 1.0
	// triedCost makes a server that was already tried the last choice.
	triedCost = 2.0
)

const (
	// staleTime is the usual time for running requests to end.
	staleTime = 1500 * time.Millisecond
	// recentLoadShare is the load time from the server's own memory relative to
	// that from the store, according to the platform's documentation.
	recentLoadShare = 0.1
	// lateStart is the share of the target from which an answer becomes
	// increasingly likely to be late, lateEnd the share at which it is certain to
	// be.
	lateStart = 0.75
	lateEnd   = 1.25
	// lateDelayFactor is how many times the announced delay a late request waits.
	lateDelayFactor = 3
)

// pressureThreshold is the use of the batch or of the memory, as a share, above
// which the cost rises steeply.
const pressureThreshold = 0.8

// Choice is the server picked for a request.
type Choice struct {
	// Index is the index of the candidate, -1 when none can serve the request.
	Index int
	// MaxDelay is the delay of the start at the picked server beyond which another
	// candidate costs the caller less; 0 when there is no other.
	MaxDelay time.Duration
}

// Pick picks the candidate with the lowest cost. It replaces unknown loads in
// candidates by estimates. draw returns a random number in [0, 1).
func Pick(candidates []Candidate, r Request, draw func() float64) Choice {
	fillLoads(candidates)
	homes := homeOrder(candidates, r.Adapter)
	shared := commonFailureShare(candidates)
	for pass := range 2 {
		best, lowest, second := -1, math.Inf(1), math.Inf(1)
		for i := range candidates {
			c := &candidates[i]
			// The second pass includes servers in backoff and silent ones: they are
			// better than no server.
			if c.Excluded || !c.Model || (c.InBackoff || c.Silent) && pass == 0 {
				continue
			}
			cost := Cost(c, &r, homes[c.ID]) + failureCost*max(c.FailureShare-shared, 0) + jitterCost*draw()
			switch {
			case cost < lowest:
				best, lowest, second = i, cost, lowest
			case cost < second:
				second = cost
			}
		}
		if best >= 0 {
			return Choice{Index: best, MaxDelay: maxDelay(&candidates[best], &r, second-lowest)}
		}
	}
	return Choice{Index: -1}
}

// offerMargin is the delay for which a request is not offered to another server: a
// further offer takes a round trip, and agents round their delays.
const offerMargin = 40 * time.Millisecond

// maxDelay returns the delay of the start at a candidate at which its cost has
// grown by margin.
func maxDelay(c *Candidate, r *Request, margin float64) time.Duration {
	if math.IsInf(margin, 1) {
		return 0
	}
	return startDelay(c, r) + max(offerMargin, waitFor(firstByte(c, r), r, margin)/time.Duration(overtaken(r)))
}

// homeOrder ranks the servers for an adapter by a hash that all entries share,
// starting at rank 1. Only the first copyRanks servers have a rank.
func homeOrder(candidates []Candidate, adapter string) map[string]int {
	if adapter == "" {
		return nil
	}
	type home struct {
		id     string
		weight uint64
	}
	first := make([]home, 0, copyRanks+1)
	for i := range candidates {
		if candidates[i].Excluded || !candidates[i].Model {
			continue
		}
		h := home{id: candidates[i].ID, weight: rendezvous.Weight(adapter, candidates[i].ID)}
		at, _ := slices.BinarySearchFunc(first, h, func(a, b home) int { return cmp.Compare(b.weight, a.weight) })
		if at < copyRanks {
			first = slices.Insert(first, at, h)[:min(len(first)+1, copyRanks)]
		}
	}
	ranks := make(map[string]int, len(first))
	for i, h := range first {
		ranks[h.id] = i + 1
	}
	return ranks
}

// Cost estimates the cost of a choice, apart from failures. home is the
// server's rank for the adapter, 0 when it has none.
func Cost(c *Candidate, r *Request, home int) float64 {
	wait := firstByte(c, r)
	cost := residenceCost(c, r, home) + pressure(c, r) + lateness(wait, r)
	if r.Left > 0 && wait > r.Left {
		cost += unservedCost
	}
	if c.DataCentre != r.DataCentre {
		cost += remoteCost
	}
	if !c.Connected {
		cost += connectCost
	}
	if c.Due {
		cost -= dueGain
	}
	if r.Tried[c.ID] {
		cost += triedCost
	}
	return cost
}

// firstByte returns how long the caller would wait for the first byte.
func firstByte(c *Candidate, r *Request) time.Duration {
	wait := startDelay(c, r)*time.Duration(overtaken(r)) + c.Answer + c.WarmUp + residenceTime(c, r)
	return max(wait+promptExcess(c, r), 0)
}

// overtaken returns how many times the announced delay a request waits: agents start
// late requests behind all others of their rank, also behind those that arrive
// meanwhile. Late callers would else wait at the engines in demand until they leave,
// while other engines could load their adapter and serve them.
func overtaken(r *Request) int {
	if r.Target > 0 && float64(r.Spent) >= lateStart*float64(r.Target) {
		return lateDelayFactor
	}
	return 1
}

// startDelay returns how long the start would be delayed, not counting the load of
// the adapter.
func startDelay(c *Candidate, r *Request) time.Duration {
	delay := c.Delay + hold(c, r)
	if needsLoad(c, r) {
		return delay + c.SlotDelay
	}
	return delay
}

func needsLoad(c *Candidate, r *Request) bool {
	return r.Adapter != "" && (c.Residence == Absent || c.Residence == RecentlyHeld)
}

// lateness returns the cost of receiving the first byte after the given wait.
func lateness(wait time.Duration, r *Request) float64 {
	if r.Target <= 0 {
		return wait.Seconds()
	}
	share := float64(wait+r.Spent) / float64(r.Target)
	late := (share - lateStart) / (lateEnd - lateStart)
	return waitCost*share + min(max(late, 0), 1)
}

// waitFor returns how much longer than wait the caller must wait for the lateness
// to grow by cost.
func waitFor(wait time.Duration, r *Request, cost float64) time.Duration {
	if r.Target <= 0 {
		return time.Duration(cost * float64(time.Second))
	}
	share := float64(wait+r.Spent) / float64(r.Target)
	until := share
	// Below lateStart and above lateEnd the cost grows by waitCost alone.
	for _, part := range []struct{ end, slope float64 }{
		{lateStart, waitCost}, {lateEnd, waitCost + 1/(lateEnd-lateStart)}, {math.Inf(1), waitCost},
	} {
		step := min(max(part.end-until, 0), cost/part.slope)
		until += step
		cost -= step * part.slope
	}
	return time.Duration((until - share) * float64(r.Target))
}

func residenceTime(c *Candidate, r *Request) time.Duration {
	switch {
	case r.Adapter == "" || c.Residence == Resident:
		return 0
	case c.Residence == Stale:
		return staleTime
	case c.Residence == RecentlyHeld:
		return time.Duration(recentLoadShare * float64(c.LoadTime))
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
	case c.Residence == RecentlyHeld:
		return recentCost
	case home > homeRanks:
		return loadCost + copyStep*float64(home-homeRanks-1)
	case home > 0:
		return homeCost + homeStep*float64(home-1)
	default:
		return loadCost + copyStep*float64(copyRanks-homeRanks)
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
	if use > pressureThreshold {
		cost += 2 * (use - pressureThreshold)
	}
	over := max(c.Running+c.Waiting-c.Batch, 0)
	return cost + queueCost*float64(over)
}
