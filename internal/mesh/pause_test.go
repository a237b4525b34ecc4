package mesh

import (
	"sync/atomic"
	"testing"
	"time"
)

// A process is frozen, or its machine suspended, while a change is acknowledged elsewhere. After it resumes, it must
// not use the configuration that it held before it has confirmed that it is the newest.
func TestPausedProcessReconfirmsConfig(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.start(0, true)
	var offset atomic.Int64
	f.configure = func(m *Mesh) {
		m.pauses.clock = func() time.Duration { return bootTime() + time.Duration(offset.Load()) }
	}
	f.start(1, true)
	f.put(0, 7)
	eventually(t, f.nodes[1].Usable)
	f.stop(0)
	offset.Store(int64(maxPause))
	if f.nodes[1].Usable() {
		t.Fatal("a paused process uses the configuration that it held before the pause")
	}
	eventually(t, func() bool { return !f.nodes[1].Documents().Current().Confirmed })
	f.start(0, false)
	eventually(t, f.nodes[1].Usable)
}
