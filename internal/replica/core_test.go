package replica

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/replog"
)

// A leader loses its leadership with a proposal under way, wins it back, and
// another proposal gets the same index. Each caller must learn its own fate:
// mixed up, an operator would believe in a change that was never made.
func TestEachCallerAtAnIndexLearnsItsOwnFate(t *testing.T) {
	c := newCore(&Replica{})
	lost, won := make(chan proposeAnswer, 1), make(chan proposeAnswer, 1)
	c.await(10, 1, lost)
	c.await(10, 3, won)
	c.handOutCommitted(replog.Ready{Committed: []replog.Entry{{Index: 10, Term: 3, Data: []byte("x")}}})
	if answer := <-lost; !errors.Is(answer.err, ErrNotCommitted) {
		t.Errorf("the earlier caller got %+v", answer)
	}
	if replies := c.toApply[0].replies; len(replies) != 1 || replies[0].reply != won {
		t.Errorf("the state machine answers %+v", replies)
	}

	covered := make(chan proposeAnswer, 1)
	c.await(11, 3, covered)
	c.endCovered(20)
	if answer := <-covered; !errors.Is(answer.err, ErrUnknown) {
		t.Errorf("the caller that a snapshot covers got %+v", answer)
	}
}
