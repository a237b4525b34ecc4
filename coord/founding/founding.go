// Package founding decides who founds the replicated log when all processes of
// a deployment start at once and know no more than a few seeds.
//
// Exactly one may found. Everyone greets all seeds, and each seed lists whom it
// has heard of, so that the seeds' lists together hold every process that has
// greeted. The process with a disk and the lowest address founds, once every
// seed has answered and nobody belongs to a log.
package founding

import (
	"time"
)

// Settle is how long a process waits after its start: all processes start
// within some hundred milliseconds, and a greeting takes one exchange.
const Settle = 1500 * time.Millisecond

// Process is one process as its greeting described it.
type Process struct {
	Address string
	// Disk is true when it can hold the log.
	Disk bool
	// Member is its identity in a log.
	Member string
	// Cluster is the log that it belongs to, empty while it belongs to none.
	Cluster string
}

// View is what the process that decides knows.
type View struct {
	Self Process
	// Bootstrap is true at the deployment's first start only.
	Bootstrap bool
	// Up is the time since the own start.
	Up time.Duration
	// SeedsSilent counts the seeds that have not answered yet.
	SeedsSilent int
	// Known are all processes that the own greetings and the seeds' lists told of.
	Known []Process
}

// Decide reports whether to found the log, and with whom.
func Decide(v View) (founders []Process, found bool) {
	if !v.Bootstrap || !v.Self.Disk || v.Self.Cluster != "" || v.Up < Settle || v.SeedsSilent > 0 {
		return nil, false
	}
	founders = []Process{v.Self}
	for _, p := range v.Known {
		if p.Cluster != "" {
			return nil, false
		}
		if !p.Disk || p.Address == v.Self.Address {
			continue
		}
		if p.Address < v.Self.Address {
			return nil, false
		}
		founders = append(founders, p)
	}
	return founders, true
}
