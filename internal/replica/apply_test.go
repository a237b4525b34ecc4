package replica

import (
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/replog"
)

// unencodable is a state machine whose state cannot be encoded.
type unencodable struct{}

func (unencodable) Apply(uint64, []byte) []byte { return nil }

func (unencodable) Snapshot() ([]byte, error) { return nil, errors.New("the state cannot be encoded") }

func (unencodable) Restore([]byte) error { return nil }

// Guards against a goroutine of the state machine that waits forever to report further failures: the core receives one,
// and Run waits for the goroutine.
func TestApplyEndsWithTheFirstFailedSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const queued = 8
		r := &Replica{
			machine: unencodable{}, applied: newAppliedIndex(), options: Options{SnapshotEntries: 1},
			applyQueue: make(chan applyItem, queued), errs: make(chan error, errSenders), snapshots: make(chan machineSnapshot, 1),
		}
		for index := uint64(1); index <= queued; index++ {
			r.applyQueue <- applyItem{entries: []replog.Entry{{Index: index, Data: []byte("a")}}}
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			r.runApply(t.Context())
		}()
		synctest.Wait()
		select {
		case <-ended:
		default:
			t.Errorf("it waits with %d errors reported", len(r.errs))
			for ; len(r.errs) > 0; synctest.Wait() {
				<-r.errs
			}
			return
		}
		if failures, applied := len(r.errs), r.applied.load(); failures != 1 || applied != 1 {
			t.Errorf("it ended with %d errors reported and %d entries applied, want 1 of both", failures, applied)
		}
	})
}
