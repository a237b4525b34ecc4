package dispatch

import (
	"math"
	"time"
)

// Speed is how long work takes on a server's machine, as a factor of the usual time: 1
// is usual, 2.5 is slow. The zero value is that of a server that has not reported it.
type Speed struct {
	factor float64
	toldAt time.Time
}

const (
	// speedHalfLife is the half-life of a deviation from the usual speed: phases of one
	// speed last 0.2 to 0.7 s.
	speedHalfLife = 300 * time.Millisecond
	// minFactor and maxFactor bound the factors that decisions use. Usual factors are
	// 0.6 to 2.5; a value far outside of that is a fault of the server that reports it.
	minFactor = 0.2
	maxFactor = 8
)

// Tell records a factor that the server reported. Values that are not above 0 are
// ignored.
func (s *Speed) Tell(factor float64, now time.Time) {
	if factor > 0 {
		s.factor, s.toldAt = boundFactor(factor), now
	}
}

// Factor returns the last reported factor, decayed towards 1; 0 before the first one.
func (s *Speed) Factor(now time.Time) float64 {
	if s.factor == 0 {
		return 0
	}
	return decayed(s.factor, now.Sub(s.toldAt))
}

// FactorSince returns the last reported factor without decay; 0 if it was reported
// before a time.
func (s *Speed) FactorSince(at time.Time) float64 {
	if s.toldAt.Before(at) {
		return 0
	}
	return s.factor
}

// Scale returns how long work takes now that usually takes the given time.
func (s *Speed) Scale(usual time.Duration, now time.Time) time.Duration {
	factor := s.Factor(now)
	if factor == 0 {
		return usual
	}
	return time.Duration(float64(usual) * factor)
}

// FactorOf converts a reported factor from percent; 0 stands for none.
func FactorOf(percent int) float64 {
	if percent <= 0 {
		return 0
	}
	return boundFactor(float64(percent) / 100)
}

func boundFactor(factor float64) float64 { return min(max(factor, minFactor), maxFactor) }

// decayed returns a factor, decayed towards 1 by its age.
func decayed(factor float64, age time.Duration) float64 { return 1 + (factor-1)*remaining(max(age, 0)) }

// maxHalvings is the number of half-lives after which nothing of a deviation is left.
const maxHalvings = 16

// powersOfHalf holds 2^-i.
var powersOfHalf = func() (powers [maxHalvings]float64) {
	for i := range powers {
		powers[i] = math.Ldexp(1, -i)
	}
	return powers
}()

// remaining returns the share of a deviation that is left after a time:
// 2^(-age/speedHalfLife) with an error below 0.4%. It is computed for each candidate of
// a choice, where math.Exp2 would double the time of a choice among 600.
func remaining(age time.Duration) float64 {
	halvings := age / speedHalfLife
	if halvings >= maxHalvings {
		return 0
	}
	// Within one half-life, a parabola through the ends and the middle approximates the
	// exponential.
	const curvature = 0.1716
	part := float64(age-halvings*speedHalfLife) * (1 / float64(speedHalfLife))
	return (1 - part*(0.5+curvature-curvature*part)) * powersOfHalf[halvings]
}

// promptExcess returns how much longer than usual the engine takes to read the request's
// own prompt; negative on a fast machine. The usual time is part of Candidate.Answer.
func promptExcess(c *Candidate, r *Request) time.Duration {
	if c.Slow <= 0 || r.Prompt <= 0 || c.PromptTime <= 0 {
		return 0
	}
	usual := float64(c.PromptTime) * float64(r.Prompt) * (1.0 / promptUnit)
	return time.Duration(usual * (c.Slow - 1) * remaining(max(c.Age, 0)))
}

// hold returns how long the agent still holds the request's prompt back in a slow phase.
func hold(c *Candidate, r *Request) time.Duration {
	if c.HoldAbove <= 0 || r.Prompt <= c.HoldAbove {
		return 0
	}
	return max(c.Hold-c.Age, 0)
}
