package broker

import (
	"cmp"
	"math"
	"time"
)

// WindowOptions configure a Window. Zero values select the defaults.
type WindowOptions struct {
	// Initial is the limit before the first measurement.
	Initial float64
	// Max bounds the limit.
	Max float64
	// Tolerance is the factor over the base time that a load may take before
	// the limit shrinks. 1.3 allows 30 percent more.
	Tolerance float64
	// ProbeEvery is the number of loads between probes of the base time.
	ProbeEvery int
}

const (
	defaultInitial    = 4
	defaultMax        = 64
	defaultTolerance  = 1.3
	defaultProbeEvery = 100
	// minShrink is the smallest factor of one decrease, so that a single slow
	// load cannot close the window.
	minShrink = 0.5
	// probeShare is the fraction of the limit that is used during a probe.
	probeShare = 0.5
)

// Window estimates how many concurrent loads the weight store can run at full speed.
// It grows by one per window of loads that took about the base time, and shrinks by
// the ratio of base to measured time, at most once per load time.
//
// The base is the load time below the knee. If it were measured only at the limit, it
// would increase along with it: beyond the knee every load is slow, and slow loads
// would count as normal. So the window periodically halves for a short probe and
// measures the base again, which also adapts it to a permanently slower store.
type Window struct {
	options  WindowOptions
	limit    float64
	base     time.Duration
	shrunkAt time.Time
	loads    int
	probe    *probe
}

// probe is a measurement of the base time at a reduced limit.
type probe struct {
	limit float64
	// pending is the number of loads still to be measured.
	pending int
	// settling is the number of loads still to be ignored because they began
	// before the probe.
	settling int
	// best is the shortest load time measured.
	best time.Duration
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

// Limit returns the maximum number of loads to keep in flight, at least 1.
func (w *Window) Limit() int {
	limit := w.limit
	if w.probe != nil {
		limit = w.probe.limit
	}
	return max(1, int(math.Round(limit)))
}

// Base returns the load time below the knee, or 0 before the first load.
func (w *Window) Base() time.Duration { return w.base }

// Observe records a load that took the given time and began with inFlight loads in
// flight, itself included.
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
	if now.Sub(w.shrunkAt) < took {
		return
	}
	w.shrunkAt = now
	w.limit = max(1, w.limit*max(minShrink, float64(w.base)/float64(took)))
}

func (w *Window) startProbe() {
	w.loads = 0
	limit := max(1, w.limit*probeShare)
	w.probe = &probe{limit: limit, settling: w.Limit(), pending: int(math.Ceil(limit)) + 1}
}

// measureProbe ends the probe when enough loads have run at its lower limit. The
// shortest load time is the new base.
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
	w.shrunkAt = now
}
