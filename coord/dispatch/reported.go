package dispatch

import (
	"math"
	"time"
)

// ReportedLoad is the load of a server without an agent, as reported with its last
// answer to this entry.
type ReportedLoad struct {
	// Running is the number of requests that the server ran or queued at the time At;
	// At is zero if it has reported none.
	Running int
	At      time.Time
	// Sent counts the requests that this entry has sent to it since.
	Sent int
}

// LoadSource is the origin of a candidate's load.
type LoadSource uint8

const (
	// LoadOwn applies to servers that report no load, and to engines whose agents
	// announce delays.
	LoadOwn LoadSource = iota
	// LoadReported is a current report plus the requests that this entry sent since.
	LoadReported
	// LoadUnknown applies to a server that has not reported its load for a while, or
	// has not answered yet: Running is what this entry has in flight there.
	LoadUnknown
)

// maxReportAge is the age up to which a reported load counts.
const maxReportAge = time.Second

// SetReportedLoad sets the load of a candidate from its last report and the requests
// of this entry in flight there. answered is set for a server that has answered this
// entry. Without an answer the load is unknown: if it were taken to be 0, all entries
// that send the server little would choose it.
func (c *Candidate) SetReportedLoad(l ReportedLoad, inFlight int, answered bool, now time.Time) {
	c.Running = inFlight
	if now.Sub(l.At) < maxReportAge {
		c.Running, c.LoadSource = max(inFlight, l.Running+l.Sent), LoadReported
		return
	}
	// A server that answers without a load does not report any.
	if !l.At.IsZero() || !answered {
		c.LoadSource = LoadUnknown
	}
}

// fillLoads sets unknown loads to the mean utilization, in requests per place in the
// batch, of the servers that report theirs, but leaves a place free: where all others are
// full, a server that has not been asked would otherwise never be. Without a current
// report it has no effect.
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
			places := max(c.Batch, 1)
			mean := int(math.Round(sum / float64(known) * float64(places)))
			c.Running = max(c.Running, min(mean, places-1))
		}
	}
}
