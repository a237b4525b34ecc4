package capacity

import (
	"math"
	"time"
)

// plausibility detects that the factors which a server reports are false, by
// comparison with the progress of its steps.
//
// A server reports its speed with an answer, when it has just read a prompt, and its
// steps can be observed only between two prompts. So the factors observed between two
// reported ones are compared with these, provided that both are about the same.
type plausibility struct {
	// told is the latest reported factor and toldAt its time; seen is the sum of the
	// logarithms of the n factors observed from steps since then.
	told   float64
	toldAt time.Time
	seen   float64
	n      int
	// since is when the comparison in progress began, and compared the time of its
	// latest value; sum is the sum of the logarithms of its count ratios.
	since, compared time.Time
	sum             float64
	count           int
	// until is the time until which reported factors are not used; doubts counts how
	// often they were found false.
	until  time.Time
	doubts int
}

const (
	// doubtAfter is how long the steps must contradict the reported factors, and
	// doubtRatio by how much. doubtFor is how long these are then not used.
	doubtAfter = 2 * time.Second
	doubtRatio = 2.0
	doubtFor   = 10 * time.Second
	// minComparisons is the least number of comparisons: a phase between two reported
	// factors can distort a single one.
	minComparisons = 5
	// steadyRange is the ratio up to which two reported factors count as the same, and
	// steadyFor the time between them up to which they also apply to the time between.
	// Over longer times, phases between them would make true factors look false.
	steadyRange = 1.2
	steadyFor   = 300 * time.Millisecond
)

// observe records a factor that was observed from steps.
func (d *plausibility) observe(steps float64) { d.seen, d.n = d.seen+math.Log(steps), d.n+1 }

// compare records a reported factor and compares it with the observed ones.
func (d *plausibility) compare(told float64, now time.Time) {
	before, seen, n := reading{factor: d.told, at: d.toldAt}, d.seen, d.n
	d.told, d.toldAt, d.seen, d.n = told, now, 0, 0
	if n == 0 || d.active(now) || before.at.IsZero() || now.Sub(before.at) > steadyFor {
		return
	}
	if change := told / before.factor; change > steadyRange || change < 1/steadyRange {
		return
	}
	if d.count == 0 || now.Sub(d.compared) > doubtAfter {
		d.since, d.sum, d.count = before.at, 0, 0
	}
	d.compared, d.sum, d.count = now, d.sum+float64(n)*math.Log(told)-seen, d.count+n
	if now.Sub(d.since) < doubtAfter || d.count < minComparisons {
		return
	}
	if math.Abs(d.sum/float64(d.count)) > math.Log(doubtRatio) {
		d.until = now.Add(doubtFor)
		d.doubts++
	}
	d.count = 0
}

func (d *plausibility) active(now time.Time) bool { return now.Before(d.until) }

// phases learns the mean length of slow phases.
type phases struct {
	since time.Time
	mean  time.Duration
}

const (
	// initialPhase is the assumed mean length before any phase was observed.
	initialPhase = 300 * time.Millisecond
	// slowFrom and slowUntil are the factors at which a phase begins and ends. They
	// differ so that the error of the estimate does not split a phase.
	slowFrom  = 1.4
	slowUntil = 1.2
	// phaseWeight is the weight of the latest phase in the mean, which is bounded by
	// minPhase and maxPhase.
	phaseWeight = 0.1
	minPhase    = 50 * time.Millisecond
	maxPhase    = time.Second
	// minLeft is the least expected remaining length, as a share of the mean.
	minLeft = 0.25
)

// observe records the factor at a time.
func (p *phases) observe(factor float64, now time.Time) {
	switch {
	case p.since.IsZero() && factor >= slowFrom:
		p.since = now
	case !p.since.IsZero() && factor <= slowUntil:
		length := min(max(now.Sub(p.since), minPhase), maxPhase)
		p.mean += time.Duration(phaseWeight * float64(length-p.mean))
		p.since = time.Time{}
	}
}

// left returns the expected remaining length of the current phase.
func (p *phases) left(now time.Time) time.Duration {
	if p.since.IsZero() {
		return p.mean
	}
	return max(p.mean-now.Sub(p.since), time.Duration(minLeft*float64(p.mean)))
}
