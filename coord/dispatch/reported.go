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

// maxReportAge is the age up to which a reported load counts.
const maxReportAge = time.Second

// SetReportedLoad sets the load of a candidate from its last report and the requests
// of this entry in flight there. A server that this entry has not heard from has no
// known load: 0 would make it the choice of all entries that send it little.
// answered is set for a server that has answered this entry.
func (c *Candidate) SetReportedLoad(l ReportedLoad, inFlight int, answered bool, now time.Time) {
	c.Running = inFlight
	if now.Sub(l.At) < maxReportAge {
		c.Running = max(inFlight, l.Running+l.Sent)
		return
	}
	// Servers that answer without a load report none.
	c.LoadUnknown = !l.At.IsZero() || !answered
}

// fillLoads sets the load of servers whose load is unknown to the mean use of the
// others. Without a known one it changes nothing.
func fillLoads(candidates []Candidate) {
	sum, known, unknown := 0.0, 0, false
	for i := range candidates {
		c := &candidates[i]
		switch {
		case !c.Model || c.Excluded || c.InBackoff || c.Silent:
		case c.LoadUnknown:
			unknown = true
		default:
			sum += float64(c.Running) / float64(max(c.Batch, 1))
			known++
		}
	}
	if !unknown || known == 0 {
		return
	}
	for i := range candidates {
		if c := &candidates[i]; c.LoadUnknown {
			c.Running = max(c.Running, int(math.Round(sum/float64(known)*float64(max(c.Batch, 1)))))
		}
	}
}
