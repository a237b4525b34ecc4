package sidecar

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	// promptsHeldCount counts the prompts whose start was held in a slow phase.
	// promptsHeldToEndCount counts those of them that were held for the longest allowed
	// time.
	promptsHeldCount      = telemetry.Counter("sidecar_prompts_held")
	promptsHeldToEndCount = telemetry.Counter("sidecar_prompts_held_to_the_end")
	// toldSpeedDoubtedCount counts how often the speed that an engine told contradicted
	// its progress.
	toldSpeedDoubtedCount = telemetry.Counter("sidecar_told_speed_doubted")
	// speedGauge is the current time of work on the engine's machine in percent of the
	// baseline.
	speedGauge = telemetry.Counter("sidecar_slow_percent")
)

// recordToldSpeed records the speed that the engine told with an answer; values that are
// invalid or older than maxToldAge are ignored.
func (l *loop) recordToldSpeed(in wire.StartDone, now time.Time) {
	if in.SlowPercent <= 0 || in.SlowAgeMillis < 0 || in.SlowAgeMillis > maxToldAge.Milliseconds() {
		return
	}
	l.table.Told(in.SlowPercent, now.Add(-time.Duration(in.SlowAgeMillis)*time.Millisecond), now)
	l.countSpeed(now)
}

// maxToldAge is the age up to which a told speed is used. A machine keeps its speed for 0.2
// to 0.7 s.
const maxToldAge = 2 * time.Second

// countSpeed updates the counters of holds and doubts, and the gauge of the speed.
func (l *loop) countSpeed(now time.Time) {
	held, toEnd := l.table.Holds()
	promptsHeldCount.Add(int64(held - l.held))
	promptsHeldToEndCount.Add(int64(toEnd - l.heldToEnd))
	l.held, l.heldToEnd = held, toEnd
	factor, known := l.table.Factor(now)
	if known {
		speedGauge.Set(int64(100 * factor))
	}
	doubts := l.table.SpeedDoubts()
	if doubts == l.doubts {
		return
	}
	toldSpeedDoubtedCount.Add(int64(doubts - l.doubts))
	l.doubts = doubts
	if !l.doubtLogged {
		l.doubtLogged = true
		l.log.Warn("the engine's load header contradicts its progress and is not used", zap.Int64("born", l.report.Born), zap.Float64("factorByProgress", factor))
	}
}
