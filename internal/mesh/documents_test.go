package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/document"
)

// Guards against a version that counts as new because this process learned of it late: at its start, or after it stood still.
func TestVersionAgeCountsFromAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDocuments(decode, zap.NewNop())
		index := uint64(0)
		announce := func(adapter string, version int64) {
			index++
			state := d.Current().State.Clone()
			if state.Adapters == nil {
				state.Adapters = make(map[string]int64)
			}
			state.Index, state.Adapters[adapter] = index, version
			d.Apply(state, "test")
		}
		expect := func(adapter string, want time.Duration) {
			t.Helper()
			if got := d.Current().VersionAge(adapter, time.Now()); got != want {
				t.Errorf("the version of %s is %s old, want %s", adapter, got, want)
			}
		}
		d.Apply(document.State{Index: 1, Version: 1, Body: []byte("{}")}, "test")
		index = 1
		announce("m/start", 2)
		d.Confirm()
		time.Sleep(time.Second)
		announce("m/a", 2)
		time.Sleep(time.Second)
		expect("m/start", maxVersionAge)
		expect("m/a", time.Second)
		announce("m/b", 1)
		time.Sleep(time.Second)
		expect("m/a", 2*time.Second)
		announce("m/a", 3)
		expect("m/a", 0)
		expect("m/b", time.Second)
		d.Unconfirm()
		announce("m/b", 2)
		d.Confirm()
		expect("m/a", 0)
		expect("m/b", maxVersionAge)
		time.Sleep(2 * maxVersionAge)
		expect("m/a", maxVersionAge)
		announce("m/c", 1)
		if got := len(d.Current().versionTimes); got != 1 {
			t.Errorf("%d version times are held, want the one that is younger than an hour", got)
		}
	})
}
