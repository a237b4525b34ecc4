package replog_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/rosemarypass/rosemarypass/coord/replog"
)

// The first member of a log is its only voter: it elects itself, and its proposals
// are committed as soon as they are synced to its own disk.
func Example() {
	founding := replog.InitialSnapshot(replog.Config{
		Cluster: "example",
		Voters:  []replog.Member{{ID: "alpha", Address: "alpha:7400"}},
	}, nil)
	node := replog.New(
		replog.Options{ID: "alpha", Random: rand.New(rand.NewPCG(1, 1))},
		replog.Restored{HardState: replog.HardState{Term: 1}, Snapshot: &founding},
	)
	drive := func() {
		for ready, ok := node.Ready(); ok; ready, ok = node.Ready() {
			// A real caller writes the hard state, snapshot and entries to disk
			// here, and sends the messages.
			node.Synced(ready.Sequence)
			for _, entry := range ready.Committed {
				if entry.Data != nil {
					fmt.Printf("apply %s\n", entry.Data)
				}
			}
		}
	}
	for node.Role() != replog.Leader {
		node.Tick()
		drive()
	}
	if _, _, err := node.Propose([]byte("set a")); err != nil {
		fmt.Println(err)
	}
	drive()
	// Output:
	// apply set a
}
