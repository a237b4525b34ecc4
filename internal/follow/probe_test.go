package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// Control has no quorum for a minute. In that time hundreds of daemons must not keep probing
// its instances at the rate of the first second.
func TestProbesBackOffWithoutProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(Options{Daemon: "d", Peers: []string{"p:1"}, Lease: 3 * time.Second}, zap.NewNop())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var probes []time.Time
		f.probeLoop(ctx, func() { probes = append(probes, time.Now()) })
		if len(probes) < 10 || len(probes) > 80 {
			t.Fatalf("%d probes in a minute without a proof, want 10 to 80", len(probes))
		}
		if last := probes[len(probes)-1].Sub(probes[len(probes)-2]); last < 2*time.Second {
			t.Errorf("after a minute a probe is sent every %s, want at least 2s", last)
		}
	})
}
