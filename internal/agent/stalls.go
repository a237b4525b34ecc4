package agent

import "time"

// stallMemory is over how many requests the recent stalls are averaged.
const stallMemory = 64

// stallMeter averages the load stalls of recent requests: how many waited for
// their adapter, and how long those did. The slot duty owns it.
type stallMeter struct {
	// share is the part of recent requests that stalled.
	share float64
	// wait is the mean stall of those, in seconds.
	wait float64
}

// note takes one request in; waited is 0 when its adapter was loaded.
func (m *stallMeter) note(waited time.Duration) {
	if waited <= 0 {
		m.share -= m.share / stallMemory
		return
	}
	m.share += (1 - m.share) / stallMemory
	if m.wait == 0 {
		m.wait = waited.Seconds()
		return
	}
	m.wait += (waited.Seconds() - m.wait) / stallMemory
}

// Steps in which reports show stalls. Finer ones would make every report
// differ from the last, at the cost of its bytes to every daemon.
const (
	stallPercentStep = 5
	stallMillisStep  = 50
)

// percent is the share of stalled requests, rounded to its step.
func (m *stallMeter) percent() int {
	return stallPercentStep * int(m.share*100/stallPercentStep+0.5)
}

// millis is the mean stall, rounded to its step; 0 once hardly any stall.
func (m *stallMeter) millis() int {
	if m.percent() == 0 {
		return 0
	}
	return stallMillisStep * int(m.wait*1000/stallMillisStep+0.5)
}
