package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// A suspected request reaches a server that serves other requests, and further
// requests arrive while it waits and runs. A request that ran concurrently
// would lose its answer if the suspect crashed the engine, and would become a
// suspect itself.
func TestSuspectRunsExclusively(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var i isolation
		leave, err := i.enter(t.Context(), false)
		if err != nil {
			t.Fatal(err)
		}
		admitted := make(chan func(), 1)
		go func() {
			done, err := i.enter(t.Context(), true)
			if err != nil {
				t.Error(err)
			}
			admitted <- done
		}()
		expectRefused := func(when string, exclusive bool) {
			synctest.Wait()
			if _, err := i.enter(t.Context(), exclusive); !errors.Is(err, errIsolated) {
				t.Errorf("%s: another request (exclusive %v) got %v, want errIsolated", when, exclusive, err)
			}
		}
		expectRefused("while the suspect waits", false)
		expectRefused("while the suspect waits", true)
		if len(admitted) != 0 {
			t.Error("suspect runs concurrently with another request")
		}
		leave()
		expectRefused("while the suspect runs", false)
		(<-admitted)()
		leave, err = i.enter(t.Context(), false)
		if err != nil {
			t.Errorf("after the suspect: %v", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := i.enter(ctx, true); err == nil {
			t.Error("suspect whose context ended was admitted")
		}
		leave()
		if _, err := i.enter(t.Context(), false); err != nil {
			t.Errorf("after a suspect whose context ended: %v", err)
		}
	})
}
