package dispatch

import (
	"math"
	"time"
)

// DelayFloor is a lower bound of a server's delay that follows from declines which
// contradict its reports. An agent declines only what it would delay beyond the offered
// limit. If its report still shows a shorter delay, the report is wrong, and without
// the bound entries would keep offering it requests. Declines that agree with the
// report have no effect. The zero value is ready to use.
type DelayFloor struct {
	delay time.Duration
	at    time.Time
}

const (
	// floorHalfLife is the half-life of the floor. It is about the time in which a
	// queue drains, so that a server that reports correctly again is soon used again.
	floorHalfLife = time.Second
	// minFloor and maxFloor bound a floor when it is set. maxFloor is longer than most
	// callers wait.
	minFloor = 100 * time.Millisecond
	maxFloor = 4 * time.Second
	// floorGrowth is the factor by which a floor exceeds the limit that was declined:
	// the decline proves only that the delay is longer than that.
	floorGrowth = 2
)

// Declined records that the agent declined a start within the offered delay, and the
// delay that its report shows after that. It returns whether these contradict each
// other.
func (f *DelayFloor) Declined(offered, reported time.Duration, now time.Time) bool {
	// Agents round the delays that they report.
	if offered <= 0 || reported+offerMargin >= offered {
		return false
	}
	proved := floorGrowth * max(offered, f.Delay(now))
	f.delay, f.at = min(max(proved, minFloor), maxFloor), now
	return true
}

// Delay returns the floor at a time.
func (f *DelayFloor) Delay(now time.Time) time.Duration {
	if f.delay == 0 {
		return 0
	}
	return time.Duration(float64(f.delay) * math.Exp2(-float64(now.Sub(f.at))/float64(floorHalfLife)))
}

// ReportedDelay returns how long the report says that the start of a request with the
// given rank and number of prompt tokens would be delayed. needsLoad is set if its
// adapter must be loaded.
func (l *Load) ReportedDelay(rank, prompt int, needsLoad bool) time.Duration {
	delay := l.delay(rank)
	if needsLoad {
		delay += l.SlotDelay
	}
	if l.HoldAbove > 0 && prompt > l.HoldAbove {
		delay += l.Hold
	}
	return delay
}

// OtherHolderDelay returns the least delay among the candidates that hold the
// request's adapter, without the one with the index picked; ok is false when there is
// no other.
func OtherHolderDelay(candidates []Candidate, picked int) (least time.Duration, ok bool) {
	for i := range candidates {
		c := &candidates[i]
		if i == picked || !c.Model || c.Excluded || c.InBackoff || c.Silent || c.Residence != Resident {
			continue
		}
		if !ok || c.Delay < least {
			least, ok = c.Delay, true
		}
	}
	return least, ok
}
