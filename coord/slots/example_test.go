package slots_test

import (
	"fmt"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/slots"
)

// A request arrives for an adapter that the engine has not loaded. The table asks for
// a permit, orders the load, and starts the request when the adapter is loaded.
func Example() {
	now := time.Unix(1_000, 0)
	table := slots.NewTable(slots.Options{Slots: 2, Queue: 8})
	ref := catalogue.Ref{Adapter: "quote-draft", Version: "7"}

	show := func(actions []slots.Action) (order slots.OrderID) {
		for _, action := range actions {
			switch a := action.(type) {
			case slots.PermitRequest:
				fmt.Println("ask for a permit to load", a.Ref)
				order = a.Order
			case slots.Load:
				fmt.Println("load", a.Ref)
				order = a.Order
			case slots.Start:
				fmt.Println("start request", a.Request)
			}
		}
		return order
	}
	order := show(table.Request(slots.Claim{Request: 1, Ref: ref, Weight: 1, WaitForSlot: true}, now))
	load := show(table.Granted(order, now))
	show(table.Loaded(load, now.Add(time.Second)))
	show(table.Release(1, now.Add(2*time.Second)))
	// Output:
	// ask for a permit to load quote-draft@7
	// load quote-draft@7
	// start request 1
}
