package capacity

import (
	"math"
	"time"
)

// doubt finds that the factors which a server tells are false, by comparison with
// the progress of its work.
type doubt struct {
	// since is when the comparison in progress began, latest when it got its latest
	// value; sum is that of the logarithms of the n ratios.
	since, latest time.Time
	sum           float64
	n             int
	until         time.Time
	count         int
}

const (
	// doubtAfter is how long the progress must contradict the told factors, and
	// doubtRatio by how much. doubtFor is how long they are not used then.
	doubtAfter = 2 * time.Second
	doubtRatio = 2.0
	doubtFor   = 10 * time.Second
	// minComparisons is the least number of comparisons: a single one is off by the
	// delay with which the progress shows a change.
	minComparisons = 5
)

// compare records the ratio of a told factor to the one by progress.
func (d *doubt) compare(ratio float64, now time.Time) {
	if d.active(now) {
		return
	}
	if d.n == 0 || now.Sub(d.latest) > doubtAfter {
		d.since, d.sum, d.n = now, 0, 0
	}
	d.latest, d.sum, d.n = now, d.sum+math.Log(ratio), d.n+1
	if now.Sub(d.since) < doubtAfter || d.n < minComparisons {
		return
	}
	if math.Abs(d.sum/float64(d.n)) > math.Log(doubtRatio) {
		d.until = now.Add(doubtFor)
		d.count++
	}
	d.n = 0
}

func (d *doubt) active(now time.Time) bool { return now.Before(d.until) }

// phases learns the mean length of slow phases.
type phases struct {
	since time.Time
	mean  time.Duration
}

const (
	// initialPhase is the assumed mean length until phases were seen.
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
