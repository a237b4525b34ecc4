package telemetry

import (
	"expvar"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap/zapcore"
)

// Guards against a step that shows the last time it was reached, or that is shown before it was.
func TestStartShowsWhenEachStepWasReachedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Start{began: time.Now()}
		listens, held, served := s.Step("listens", new(expvar.Int)), s.Step("held", new(expvar.Int)), s.Step("served", new(expvar.Int))
		listens.Reach()
		time.Sleep(70 * time.Millisecond)
		held.Reach()
		time.Sleep(50 * time.Millisecond)
		held.Reach()
		fields := zapcore.NewMapObjectEncoder()
		for _, field := range s.Fields() {
			field.AddTo(fields)
		}
		if got := fields.Fields; got["listens"] != int64(1) || got["held"] != int64(70) {
			t.Errorf("the line holds %v, want listens 1 and held 70", got)
		}
		if _, shown := fields.Fields["served"]; shown || served.gauge.Value() != 0 {
			t.Error("a step is shown that was not reached")
		}
		if since, ok := held.Since(time.Now()); !ok || since != 50*time.Millisecond {
			t.Errorf("reached %s ago (%t), want 50ms", since, ok)
		}
		if _, ok := served.Since(time.Now()); ok {
			t.Error("a step counts as reached that was not")
		}
	})
}
