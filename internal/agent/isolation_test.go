package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// A suspect comes to a server that serves others, and others come while it
// waits and runs. A neighbour that slipped in would lose its answer with the
// suspect, and would be suspected itself.
func TestASuspectHasNoNeighbours(t *testing.T) {
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
		refused := func(when string, alone bool) {
			synctest.Wait()
			if _, err := i.enter(t.Context(), alone); !errors.Is(err, errIsolated) {
				t.Errorf("%s: another request (alone %v) got %v", when, alone, err)
			}
		}
		refused("while the suspect waits", false)
		refused("while the suspect waits", true)
		if len(admitted) != 0 {
			t.Error("the suspect runs beside a neighbour")
		}
		leave()
		refused("while the suspect runs", false)
		(<-admitted)()
		leave, err = i.enter(t.Context(), false)
		if err != nil {
			t.Errorf("after the suspect: %v", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := i.enter(ctx, true); err == nil {
			t.Error("a suspect that gave up was admitted")
		}
		leave()
		if _, err := i.enter(t.Context(), false); err != nil {
			t.Errorf("after a suspect that gave up: %v", err)
		}
	})
}
