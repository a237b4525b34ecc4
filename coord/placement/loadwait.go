package placement

import "github.com/rosemarypass/rosemarypass/coord/membership"

// arrivingShare is the mean remaining fraction of the load time for a load in
// progress.
const arrivingShare = 0.5

// LoadWait is the wait for the adapter: none where it is loaded, the remaining
// load time where a load is in progress, otherwise a full load time, preceded
// by the wait for a slot when every slot is in use.
func LoadWait(c *Candidate, e *Estimates) float64 {
	if c.Kind != membership.KindEngine || c.Resident {
		return 0
	}
	load := e.LoadTime.Seconds()
	if c.Arriving {
		return arrivingShare * load
	}
	if c.Obtainable > 0 {
		return load
	}
	slots := float64(max(c.Slots, 1))
	return load + e.ServiceTime.Seconds()*float64(1-c.Obtainable)/slots
}
