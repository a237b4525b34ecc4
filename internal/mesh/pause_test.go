package mesh

import (
	"sync/atomic"
	"testing"
	"time"
)

// A process is frozen, or its machine suspended, while a change is acknowledged elsewhere. Awake again, it must not go on
// by what it held before it has asked whether that is the newest.
func TestAProcessThatStoodStillAsksBeforeItActs(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.start(0, true)
	var ahead atomic.Int64
	f.prepare = func(m *Mesh) {
		m.pauses.clock = func() time.Duration { return bootTime() + time.Duration(ahead.Load()) }
	}
	f.start(1, true)
	f.put(0, 7)
	eventually(t, f.nodes[1].Usable)
	f.stop(0)
	ahead.Store(int64(longestPause))
	if f.nodes[1].Usable() {
		t.Fatal("it acts by what it held before it stood still")
	}
	eventually(t, func() bool { return !f.nodes[1].Documents().Current().Confirmed })
	f.start(0, false)
	eventually(t, f.nodes[1].Usable)
}
