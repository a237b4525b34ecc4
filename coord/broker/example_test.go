package broker_test

import (
	"fmt"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/broker"
)

// Two agents want to load while the store runs one load at a time. The second gets its
// permit when the first reports the end of its load.
func Example() {
	now := time.Unix(1_000, 0)
	b := broker.New(broker.Options{Window: broker.WindowOptions{Initial: 1, Max: 1}})
	first := broker.Key{Agent: "engine-1", Incarnation: 1, Order: 1}
	second := broker.Key{Agent: "engine-2", Incarnation: 1, Order: 1}

	for _, grant := range b.Ask(broker.Ask{Key: first, Demand: 1}, now) {
		fmt.Println("granted", grant.Agent)
	}
	fmt.Println("granted at once:", len(b.Ask(broker.Ask{Key: second, Demand: 5}, now)))
	for _, grant := range b.Loaded(first, 250*time.Millisecond, now.Add(time.Second)) {
		fmt.Println("granted", grant.Agent)
	}
	// Output:
	// granted engine-1
	// granted at once: 0
	// granted engine-2
}
