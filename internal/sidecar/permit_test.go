package sidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/mesh"
)

// Guards against an engine that stays without a model because its permit arrives while the queue of calls is full.
func TestPermitArrivesBehindFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := Options{Permit: func(context.Context, string, []string, time.Time) string { return "m" }}
		s := New(options, nil, mesh.NewDocuments(nil, zap.NewNop()), zap.NewNop())
		for s.submit(func(*loop) {}) == nil {
		}
		l := &loop{Sidecar: s}
		l.requestPermit(t.Context())
		synctest.Wait()
		for len(s.calls) > 0 {
			(<-s.calls)(l)
			synctest.Wait()
		}
		if l.permitPending || l.permittedModel != "m" {
			t.Errorf("pending %t, permitted %q after the queue was emptied; want the model m", l.permitPending, l.permittedModel)
		}
	})
}
