package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	// awakeInterval is the pause between two signs that this process runs.
	awakeInterval = 250 * time.Millisecond
	// longestPause is how long a process may stand still and still act by what it
	// holds: others may have acknowledged a change meanwhile, and a second is left of
	// the time in which it must be in force.
	longestPause = time.Second
)

// bootTime is a clock that goes on while the machine is suspended, and does not
// jump with the time of day.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("the kernel has no clock of the time since its start: " + err.Error())
	}
	return time.Duration(now.Nano())
}

// pauses notices that this process has stood still: frozen, or its machine
// suspended.
type pauses struct {
	clock func() time.Duration
	// awake is the clock at the last sign, in nanoseconds; 0 before the first.
	awake atomic.Int64
	// noticed counts the times that it has stood still.
	noticed atomic.Int64
}

// since is how long ago the last sign was.
func (p *pauses) since() time.Duration {
	awake := p.awake.Load()
	if awake == 0 {
		return 0
	}
	return p.clock() - time.Duration(awake)
}

// count is how often the process has stood still, the present time included that
// was not noticed yet.
func (p *pauses) count() int64 {
	count := p.noticed.Load()
	if p.since() >= longestPause {
		count++
	}
	return count
}

// sign notes that the process runs.
func (p *pauses) sign() { p.awake.Store(int64(p.clock())) }

// Usable reports whether requests may be admitted, routed and refused by what is
// held: it is confirmed, and this process has not stood still since.
func (m *Mesh) Usable() bool {
	return m.documents.Current().Usable() && m.pauses.since() < longestPause
}

// keepConfirmed seeks a proof for what is held at the start, and again whenever
// the process has stood still.
func (m *Mesh) keepConfirmed(ctx context.Context) {
	ticker := time.NewTicker(awakeInterval)
	defer ticker.Stop()
	m.pauses.sign()
	m.duties.Go(func() { m.seekProof(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if stood := m.pauses.since(); stood >= longestPause {
			m.pauses.noticed.Add(1)
			m.documents.Doubt()
			m.log.Warn("the process has stood still", zap.Duration("for", stood))
			m.duties.Go(func() { m.seekProof(ctx) })
		}
		m.pauses.sign()
	}
}
