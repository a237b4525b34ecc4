package placement

import "github.com/rosemarypass/rosemarypass/coord/membership"

// arrivingShare is the part of a load time that is left, on average, of a load
// that has begun.
const arrivingShare = 0.5

// LoadWait is the wait for the adapter: none where it is loaded, what is left
// of a load on its way, else a load, and before it the wait for a slot when
// every slot serves requests.
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
