package telemetry

import (
	"expvar"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// An overload makes the same failure thousands of times a second. The log must
// show some of them and count the rest.
func TestLinesOfOneTextAreBoundedAndCounted(t *testing.T) {
	core, seen := observer.New(zap.InfoLevel)
	var counted expvar.Int
	log := zap.New(bounded(core, &counted))
	const lines = 40 * logBurst
	for range lines {
		log.Info("request refused")
	}
	log.Info("leader")
	dropped := int(counted.Value())
	if seen.Len()+dropped != lines+1 || dropped == 0 || seen.FilterMessage("leader").Len() != 1 {
		t.Errorf("%d lines were written and %d counted, of %d", seen.Len(), dropped, lines+1)
	}
}
