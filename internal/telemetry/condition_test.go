package telemetry

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against a line for each observation, which would fill the log under load, and against a condition whose end is
// never told.
func TestConditionIsLoggedAtItsBeginAndEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.InfoLevel)
		c := NewCondition(zap.New(core), "begun", "ended", 5*time.Second)
		for round := range 2 {
			for i := range 10 {
				if first := c.Observe(); first != (i == 0) {
					t.Errorf("round %d, observation %d: first %v", round, i, first)
				}
				time.Sleep(4 * time.Second)
			}
			if got := lines.Len(); got != 2*round+1 {
				t.Fatalf("%d lines while it holds", got)
			}
			time.Sleep(2 * time.Second)
			synctest.Wait()
			if last := lines.All()[lines.Len()-1]; last.Message != "ended" || last.ContextMap()["times"] != int64(10) {
				t.Errorf("the last line is %v", last)
			}
		}
	})
}
