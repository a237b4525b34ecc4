package membership_test

import (
	"fmt"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/membership"
)

// A control instance keeps a Directory. A daemon keeps a View of it and applies
// the changes since its last request.
func Example() {
	now := time.Unix(1_000, 0)
	directory := membership.NewDirectory(membership.Options{Lease: 2 * time.Second}, 1, now)
	view := membership.NewView()

	server := membership.Announcement{
		Server: "dabke-llm-1", Kind: membership.KindEngine, Address: "10.0.1.31:7100", Incarnation: 1, Sequence: 1,
	}
	fmt.Println(directory.Announce(server, now))
	view.Apply(directory.Delta(view.Epoch(), view.Version(), now), now)

	server.Sequence, server.Leaving = 2, true
	fmt.Println(directory.Announce(server, now))
	delta := directory.Delta(view.Epoch(), view.Version(), now)
	view.Apply(delta, now)
	fmt.Println(delta.Whole, view.Servers()[0].Leaving)
	// Output:
	// <nil>
	// <nil>
	// false true
}
