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

	"github.com/rosemarypass/rosemarypass/coord/overlay"
)

// MostMembers bounds the log: each change costs its leader a message to every
// member. It is the number of instances that the design size sets aside for
// control; 9 voters bear the loss of 4.
const MostMembers = 9

// Settle is how long a process waits after it has opened its disk, so that the
// others have heard of it and it of them: all processes start within some hundred
// milliseconds, and a greeting takes one exchange. Disks may take longer to open;
// until then others see a process without one.
const Settle = 1500 * time.Millisecond

// Process is one process as its greeting described it.
type Process struct {
	Address    string
	DataCentre string
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
	// Up is the time since the own disk was opened.
	Up time.Duration
	// SeedsSilent counts the seeds that have not answered yet.
	SeedsSilent int
	// Known are all processes that the own greetings and the seeds' lists told of.
	Known []Process
}

// Decide reports whether to found the log, and with whom: itself and others with
// a disk, over all data centres alike.
func Decide(v View) (founders []Process, found bool) {
	if !v.Bootstrap || !v.Self.Disk || v.Self.Cluster != "" || v.Up < Settle || v.SeedsSilent > 0 {
		return nil, false
	}
	var others []Process
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
		others = append(others, p)
	}
	others = overlay.Spread(others, func(p Process) (string, string) { return p.DataCentre, p.Address })
	founders = append([]Process{v.Self}, others...)
	return founders[:min(len(founders), MostMembers)], true
}
