package telemetry

import (
	"expvar"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// An overload causes the same failure thousands of times per second. The log must
// contain some of the lines, and the others must be counted.
func TestRepeatedMessagesAreSampledAndCounted(t *testing.T) {
	core, seen := observer.New(zap.InfoLevel)
	var counted expvar.Int
	log := zap.New(newSampledCore(core, &counted))
	const lines = 40 * logBurst
	for range lines {
		log.Info("request refused")
	}
	log.Info("leader")
	dropped := int(counted.Value())
	if seen.Len()+dropped != lines+1 || dropped == 0 || seen.FilterMessage("leader").Len() != 1 {
		t.Errorf("%d lines were written and %d counted as dropped, of %d", seen.Len(), dropped, lines+1)
	}
}
