package capacity

import (
	"slices"
	"time"
)

// baseline learns the time of a step at normal speed, as a low quantile of the
// step times over many seconds.
//
// The mean or the median would follow slow phases, which can take half of the
// time on a shared machine. The factors that the server reports are not used: a
// false value would make the baseline agree with it.
type baseline struct {
	// step is the learned time of one step; 0 while unknown.
	step time.Duration
	// took and steps are the duration and the steps of the measurement in progress.
	took  time.Duration
	steps int
	// recent holds the latest measurements, of which next is overwritten first.
	recent []time.Duration
	next   int
	sorted []time.Duration
}

const (
	// baselineWindow is the duration of one measurement. It covers about eight steps
	// of 18 ms, so the error of one step is an eighth.
	baselineWindow = 140 * time.Millisecond
	// baselineQuantile is the quantile of the measurements that is the baseline. It
	// is low because prompts are held in slow phases, so most of the time in which
	// no prompt is read is slow: 0.35 gave 26 ms for steps of 18 ms.
	baselineQuantile = 0.15
	// baselineSamples is the number of measurements kept, minBaseline the number
	// from which the baseline is known.
	baselineSamples = 200
	minBaseline     = 8
)

// add records consecutive steps.
func (b *baseline) add(took time.Duration, steps int) {
	b.took, b.steps = b.took+took, b.steps+steps
	if b.took < baselineWindow {
		return
	}
	if b.steps > 0 {
		b.record(b.took / time.Duration(b.steps))
	}
	b.interrupt()
}

// interrupt discards the measurement in progress.
func (b *baseline) interrupt() { b.took, b.steps = 0, 0 }

func (b *baseline) record(step time.Duration) {
	if len(b.recent) < baselineSamples {
		b.recent = append(b.recent, step)
	} else {
		b.recent[b.next] = step
		b.next = (b.next + 1) % baselineSamples
	}
	if len(b.recent) < minBaseline {
		return
	}
	b.sorted = append(b.sorted[:0], b.recent...)
	slices.Sort(b.sorted)
	b.step = b.sorted[int(baselineQuantile*float64(len(b.sorted)-1))]
}
