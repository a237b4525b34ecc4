// Package founding decides which process bootstraps the replicated log when all
// processes of a deployment start at the same time and know only a few seeds.
//
// Exactly one process may found the log. Every process greets all seeds, and each
// seed lists the processes that it has heard of, so that the lists of the seeds
// together contain every process that has sent a greeting. The process with the
// lowest address among those with a disk founds the log, once every seed has
// answered and no known process belongs to a log.
package founding

import (
	"time"

	"github.com/rosemarypass/rosemarypass/coord/overlay"
)

// MaxMembers is the maximum number of members of the log: each change costs its
// leader a message to every member. It is the number of instances that the design
// size reserves for control; 9 voters tolerate the loss of 4.
const MaxMembers = 9

// SettleTime is how long a process waits after it has opened its disk, so that
// all processes have heard of each other: they start within a few hundred
// milliseconds, and a greeting takes one round trip. Opening the disk may take
// longer; until then the others see a process without a disk.
const SettleTime = 1500 * time.Millisecond

// Process describes a process, as given in its greeting.
type Process struct {
	Address    string
	DataCentre string
	// Disk reports whether the process can store the log.
	Disk bool
	// Member is the process's member ID in a log.
	Member string
	// Cluster identifies the log to which the process belongs; empty if none.
	Cluster string
}

// View is the information on which a process bases its decision.
type View struct {
	Self Process
	// Bootstrap is true only at the first start of the deployment.
	Bootstrap bool
	// Up is the time since the process opened its disk.
	Up time.Duration
	// UnansweredSeeds is the number of seeds that have not answered yet.
	UnansweredSeeds int
	// Known are all processes learned from answers to greetings and from the
	// seeds' lists.
	Known []Process
}

// Decide reports whether the process founds the log, and returns the founders:
// the process itself and others with a disk, spread evenly over all data centres.
func Decide(v View) (founders []Process, founds bool) {
	if !v.Bootstrap || !v.Self.Disk || v.Self.Cluster != "" || v.Up < SettleTime || v.UnansweredSeeds > 0 {
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
	return founders[:min(len(founders), MaxMembers)], true
}
