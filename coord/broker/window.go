package broker

import (
	"cmp"
	"math"
	"time"
)

// WindowOptions tune a Window. Zero values take the defaults.
type WindowOptions struct {
	// Initial is the limit before the first measurement.
	Initial float64
	// Max bounds the limit.
	Max float64
	// Tolerance is how much longer than the base a load may take before the
	// limit shrinks; 1.3 allows 30 percent.
	Tolerance float64
	// ProbeEvery is the number of loads between probes of the base.
	ProbeEvery int
}

const (
	defaultInitial    = 4
	defaultMax        = 64
	defaultTolerance  = 1.3
	defaultProbeEvery = 100
	// minShrink bounds one step down, so that one slow load cannot close the window.
	minShrink = 0.5
	// probeShare is the part of the limit that is used while probing.
	probeShare = 0.5
)

// Window finds how many loads the weight store takes at full speed. It grows
// by one per window of loads that took about the base time, and shrinks by the
// ratio of base to measured time, at most once per load time.
//
// The base is the load time below the knee. Measured only at the limit it
// would creep up with it: beyond the knee every load is slow, and slow would
// count as normal. So the window halves for a moment now and then and takes
// the base anew, which also follows a store that became slower for good.
type Window struct {
	options WindowOptions
	limit   float64
	base    time.Duration
	shrunk  time.Time
	loads   int
	probe   *probe
}

// probe is a moment of half the limit.
type probe struct {
	limit float64
	// pending counts the loads still to be measured.
	pending int
	// settling counts the loads, begun before the probe, to be passed over.
	settling int
	best     time.Duration
}

// NewWindow returns a window at its initial limit.
func NewWindow(options WindowOptions) *Window {
	options.Initial = cmp.Or(options.Initial, defaultInitial)
	options.Max = cmp.Or(options.Max, defaultMax)
	options.Tolerance = cmp.Or(options.Tolerance, defaultTolerance)
	if options.ProbeEvery == 0 {
		options.ProbeEvery = defaultProbeEvery
	}
	return &Window{options: options, limit: options.Initial}
}

// Limit is the most loads to keep in flight, at least 1.
func (w *Window) Limit() int {
	limit := w.limit
	if w.probe != nil {
		limit = w.probe.limit
	}
	return max(1, int(math.Round(limit)))
}

// Base is the load time below the knee, 0 before the first load.
func (w *Window) Base() time.Duration { return w.base }

// Observe learns from a load that took the given time and began with inFlight
// loads out, itself included.
func (w *Window) Observe(took time.Duration, inFlight int, now time.Time) {
	w.loads++
	if w.base == 0 || took < w.base {
		w.base = took
	}
	if w.probe != nil {
		w.measureProbe(took, now)
		return
	}
	if float64(took) > float64(w.base)*w.options.Tolerance {
		w.shrink(took, now)
	} else if inFlight >= w.Limit() {
		w.limit = min(w.limit+1/w.limit, w.options.Max)
	}
	if w.loads >= w.options.ProbeEvery {
		w.startProbe()
	}
}

func (w *Window) shrink(took time.Duration, now time.Time) {
	if now.Sub(w.shrunk) < took {
		return
	}
	w.shrunk = now
	w.limit = max(1, w.limit*max(minShrink, float64(w.base)/float64(took)))
}

func (w *Window) startProbe() {
	w.loads = 0
	limit := max(1, w.limit*probeShare)
	w.probe = &probe{limit: limit, settling: w.Limit(), pending: int(math.Ceil(limit)) + 1}
}

// measureProbe ends the probe when enough loads ran at its lower limit; the
// shortest of them is the new base.
func (w *Window) measureProbe(took time.Duration, now time.Time) {
	p := w.probe
	if p.settling > 0 {
		p.settling--
		return
	}
	if p.best == 0 || took < p.best {
		p.best = took
	}
	if p.pending--; p.pending > 0 {
		return
	}
	w.base, w.probe = p.best, nil
	w.shrunk = now
}
