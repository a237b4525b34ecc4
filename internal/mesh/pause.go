package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	// tickInterval is the interval between two ticks, which show that this process is
	// running.
	tickInterval = 250 * time.Millisecond
	// maxPause is how long a process may be paused and still use the configuration that
	// it holds. Other processes may acknowledge a change during the pause; after maxPause,
	// one second is left of the time within which the change must be in force.
	maxPause = time.Second
)

// bootTime reads a clock that advances while the machine is suspended, and does not jump
// with the time of day.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("failed to read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}

// pauseDetector detects that this process was paused: frozen, or its machine suspended.
type pauseDetector struct {
	clock func() time.Duration
	// lastTick is the clock at the last tick, in nanoseconds; 0 before the first.
	lastTick atomic.Int64
	// detected counts the pauses that were detected.
	detected atomic.Int64
}

// sinceTick returns the time since the last tick.
func (p *pauseDetector) sinceTick() time.Duration {
	last := p.lastTick.Load()
	if last == 0 {
		return 0
	}
	return p.clock() - time.Duration(last)
}

// count returns the number of pauses, including a current one that has not been detected
// yet.
func (p *pauseDetector) count() int64 {
	count := p.detected.Load()
	if p.sinceTick() >= maxPause {
		count++
	}
	return count
}

// tick records that the process is running.
func (p *pauseDetector) tick() { p.lastTick.Store(int64(p.clock())) }

// Usable reports whether requests may be admitted, routed and refused by the held
// configuration: it is confirmed, and this process has not been paused since.
func (m *Mesh) Usable() bool {
	return m.documents.Current().Usable() && m.pauses.sinceTick() < maxPause
}

// Ready reports whether this process knows enough to serve.
func (m *Mesh) Ready() bool { return m.Usable() && m.Informed() }

// watchPauses seeks a proof of freshness for the held configuration at the start, and
// again after each pause of the process.
func (m *Mesh) watchPauses(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	m.pauses.tick()
	m.tasks.Go(func() { m.confirmConfig(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if paused := m.pauses.sinceTick(); paused >= maxPause {
			m.pauses.detected.Add(1)
			m.documents.Unconfirm()
			m.log.Warn("the process has stood still", zap.Duration("for", paused))
			m.tasks.Go(func() { m.confirmConfig(ctx) })
		}
		m.pauses.tick()
	}
}
