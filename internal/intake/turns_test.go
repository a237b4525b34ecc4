package intake

import (
	"testing"
	"testing/synctest"
)

// Guards against turns that are lost, so that no body is read any more, and against more than there are.
func TestTurnsAreGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turns := make(chan struct{}, 2)
		bodies := []*turn{{turns: turns}, {turns: turns}, {turns: turns}}
		bodies[0].Acquire()
		bodies[1].Acquire()
		third := make(chan struct{})
		go func() {
			defer close(third)
			bodies[2].Acquire()
		}()
		synctest.Wait()
		select {
		case <-third:
			t.Fatal("three bodies have a turn at once")
		default:
		}
		bodies[0].Release()
		bodies[0].Release()
		<-third
		bodies[1].end()
		bodies[1].Acquire()
		bodies[1].Release()
		bodies[2].Acquire()
		if len(turns) != 1 {
			t.Errorf("one body has %d turns", len(turns))
		}
		bodies[2].end()
		if len(turns) != 0 {
			t.Errorf("%d turns are taken in the end", len(turns))
		}
	})
}
