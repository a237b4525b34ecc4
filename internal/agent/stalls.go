package agent

import "time"

// stallWindow is the number of requests over which recent stalls are averaged.
const stallWindow = 64

// stallMeter averages the load stalls of recent requests: the share of requests
// that waited for their adapter, and their mean wait. It is owned by the slot
// loop.
type stallMeter struct {
	// share is the fraction of recent requests that stalled.
	share float64
	// meanSeconds is the mean stall of the stalled requests, in seconds.
	meanSeconds float64
}

// observe records one request. waited is 0 if its adapter was loaded.
func (m *stallMeter) observe(waited time.Duration) {
	if waited <= 0 {
		m.share -= m.share / stallWindow
		return
	}
	m.share += (1 - m.share) / stallWindow
	if m.meanSeconds == 0 {
		m.meanSeconds = waited.Seconds()
		return
	}
	m.meanSeconds += (waited.Seconds() - m.meanSeconds) / stallWindow
}

// Steps to which reported stalls are rounded. With finer steps every report
// would differ from the previous one and would have to be sent to every daemon.
const (
	stallPercentStep = 5
	stallMillisStep  = 50
)

// percent returns the percentage of stalled requests, rounded to
// stallPercentStep.
func (m *stallMeter) percent() int {
	return stallPercentStep * int(m.share*100/stallPercentStep+0.5)
}

// millis returns the mean stall in milliseconds, rounded to stallMillisStep, or
// 0 if percent is 0.
func (m *stallMeter) millis() int {
	if m.percent() == 0 {
		return 0
	}
	return stallMillisStep * int(m.meanSeconds*1000/stallMillisStep+0.5)
}
