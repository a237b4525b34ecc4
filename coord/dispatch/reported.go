package dispatch

import (
	"math"
	"time"
)

// ReportedLoad is the load of a server without an agent, as its last answer to this
// entry told it.
type ReportedLoad struct {
	// Running is the number of requests that the server ran or queued at a time.
	Running int
	At      time.Time
	// Sent counts the requests that this entry has sent to it since.
	Sent int
}

// LoadSource is how an entry knows the load of a server.
type LoadSource uint8

const (
	// LoadOwn is the load of servers that report none, and of engines whose agents
	// announce delays.
	LoadOwn LoadSource = iota
	// LoadReported is a current report and the own requests since.
	LoadReported
	// LoadUnknown is that of a server that has not reported its load for a while, or
	// has not answered yet: Running is what this entry has in flight there.
	LoadUnknown
)

// maxReportAge is the age up to which a reported load counts.
const maxReportAge = time.Second

// SetReportedLoad sets the load of a candidate from its last report and the requests
// of this entry in flight there. A server that this entry has not heard from has no
// known load: 0 would make it the choice of all entries that send it little.
// answered is set for a server that has answered this entry.
func (c *Candidate) SetReportedLoad(l ReportedLoad, inFlight int, answered bool, now time.Time) {
	c.Running = inFlight
	if now.Sub(l.At) < maxReportAge {
		c.Running, c.LoadSource = max(inFlight, l.Running+l.Sent), LoadReported
		return
	}
	// Servers that answer without a load report none.
	if !l.At.IsZero() || !answered {
		c.LoadSource = LoadUnknown
	}
}

// fillLoads sets the load of servers whose load is unknown to the mean use of those
// that report it. Without a current report it changes nothing.
func fillLoads(candidates []Candidate) {
	sum, known, unknown := 0.0, 0, false
	for i := range candidates {
		c := &candidates[i]
		switch {
		case !c.Model || c.Excluded || c.InBackoff || c.Silent:
		case c.LoadSource == LoadUnknown:
			unknown = true
		case c.LoadSource == LoadReported:
			sum += float64(c.Running) / float64(max(c.Batch, 1))
			known++
		}
	}
	if !unknown || known == 0 {
		return
	}
	for i := range candidates {
		if c := &candidates[i]; c.LoadSource == LoadUnknown {
			c.Running = max(c.Running, int(math.Round(sum/float64(known)*float64(max(c.Batch, 1)))))
		}
	}
}
