package replica

import (
	"slices"
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

// A peer that was frozen gets all that it missed. In one call the encoding of some megabytes stayed in the leader's
// memory for good: each call carries a bounded part, and every message is sent once and in order.
func TestWhatAPeerMissedIsSentInBoundedParts(t *testing.T) {
	const messages, size = 40, 100 << 10
	lane := make(chan replog.Message, messages)
	for i := range messages {
		lane <- replog.Message{Kind: replog.KindAppend, Index: uint64(i), Entries: []replog.Entry{{Data: make([]byte, size)}}}
	}
	var sent []uint64
	for len(lane) > 0 {
		part, _ := collect(<-lane, lane)
		bytes := 0
		for _, m := range part {
			sent = append(sent, m.Index)
			bytes += len(m.Entries[0].Data)
		}
		if bytes >= envelopeBytes+size {
			t.Errorf("one call carries %d bytes in %d messages", bytes, len(part))
		}
	}
	if len(sent) != messages || !slices.IsSorted(sent) {
		t.Errorf("sent were %v", sent)
	}
}
