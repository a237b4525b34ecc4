package replica

import (
	"slices"
	"testing"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/replog"
)

// A leader loses its leadership while a proposal is pending and regains it, and a
// second proposal gets the same index. Each caller must get the result of its own
// proposal; otherwise an operator would see a change confirmed that was never made.
func TestCallersAtSameIndexGetOwnResult(t *testing.T) {
	c := newCore(&Replica{})
	first, second := make(chan proposeResult, 1), make(chan proposeResult, 1)
	c.addWaiter(10, 1, first)
	c.addWaiter(10, 3, second)
	c.enqueueCommitted(replog.Ready{Committed: []replog.Entry{{Index: 10, Term: 3, Data: []byte("x")}}})
	if answer := <-first; !errors.Is(answer.err, ErrNotCommitted) {
		t.Errorf("first caller got %+v, want ErrNotCommitted", answer)
	}
	if replies := c.toApply[0].replies; len(replies) != 1 || replies[0].reply != second {
		t.Errorf("replies of the state machine = %+v, want only the second caller", replies)
	}

	covered := make(chan proposeResult, 1)
	c.addWaiter(11, 3, covered)
	c.failCovered(20)
	if answer := <-covered; !errors.Is(answer.err, ErrUnknown) {
		t.Errorf("caller covered by a snapshot got %+v, want ErrUnknown", answer)
	}
}

// A leader that was replaced holds two entries that no one else has, and its successor's log ends before the second
// one. The caller of the second one must be refused as soon as the successor's entry is committed; it would otherwise
// wait until its own timeout, although its command can never be committed.
func TestCallerBehindLaterLeadersLogIsRefused(t *testing.T) {
	c := newCore(&Replica{})
	lost, pending := make(chan proposeResult, 1), make(chan proposeResult, 1)
	c.addWaiter(11, 1, lost)
	c.addWaiter(12, 3, pending)
	c.enqueueCommitted(replog.Ready{Committed: []replog.Entry{{Index: 10, Term: 3}}})
	select {
	case answer := <-lost:
		if !errors.Is(answer.err, ErrNotCommitted) {
			t.Errorf("caller behind the later leader's log got %+v, want ErrNotCommitted", answer)
		}
	default:
		t.Error("caller behind the later leader's log still waits")
	}
	select {
	case answer := <-pending:
		t.Errorf("caller of the later leader's own entry got %+v, want it to wait", answer)
	default:
	}
	if len(c.waiters) != 1 {
		t.Errorf("waiters are kept at %d indexes, want 1", len(c.waiters))
	}
}

// A peer that was unresponsive receives its complete backlog. If it were sent in a single call, the leader would
// permanently retain several megabytes of encoding buffers. Each call must be bounded, and every message must be sent
// once and in order.
func TestBacklogIsSentInBoundedCalls(t *testing.T) {
	const messages, size = 40, 100 << 10
	queue := make(chan replog.Message, messages)
	for i := range messages {
		queue <- replog.Message{Kind: replog.KindAppend, Index: uint64(i), Entries: []replog.Entry{{Data: make([]byte, size)}}}
	}
	var sent []uint64
	for len(queue) > 0 {
		part, _ := collect(<-queue, queue)
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
		t.Errorf("got message indexes %v, want each once and in order", sent)
	}
}
