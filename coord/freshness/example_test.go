package freshness_test

import (
	"fmt"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/freshness"
)

// A daemon follows one control instance. It admits while the last confirmation
// is within the lease, and stops when the instance loses its quorum.
func Example() {
	now := time.Unix(1_000, 0)
	tracker := freshness.NewTracker(freshness.Options{Lease: 3 * time.Second})

	tracker.Advance(42) // the daemon's copy is at index 42
	tracker.Answer(freshness.Standing{Confirmed: true, ConfirmedIndex: 42}, now)
	fmt.Println(tracker.State(now.Add(time.Second)).Kind)

	tracker.Answer(freshness.Standing{Confirmed: false, ConfigIndex: 42}, now.Add(2*time.Second))
	state := tracker.State(now.Add(4 * time.Second))
	fmt.Println(state.Kind, state.MayAdmit())
	// Output:
	// fresh
	// cut-off false
}
