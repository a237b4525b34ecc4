package placement_test

import (
	"fmt"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/placement"
)

// One of two engines holds the adapter. It is picked although it is busier.
// After it declines the request, the other engine is picked.
func Example() {
	now := time.Unix(1_000, 0)
	ref := catalogue.Ref{Adapter: "quote-draft", Version: "7"}
	engine := func(name string, load membership.Load) membership.Announcement {
		load.Capacity, load.Obtainable = 16, 4
		return membership.Announcement{
			Server: name, Kind: membership.KindEngine, BaseModel: "floor-base",
			Slots: 4, Incarnation: 1, Sequence: 1, Load: load,
		}
	}
	selector := placement.NewSelector(placement.NewPicker(), placement.SelectorOptions{})
	selector.Observe([]membership.Announcement{
		engine("idle", membership.Load{}),
		engine("holder", membership.Load{Running: 3, Resident: []catalogue.Ref{ref}}),
	}, now)

	request := placement.Request{Kind: membership.KindEngine, Ref: ref, BaseModel: "floor-base"}
	server, _ := selector.Pick(request, now)
	fmt.Println(server.Server)

	selector.Declined(server.Server, now)
	request.Exclude = []string{server.Server}
	server, _ = selector.Pick(request, now)
	fmt.Println(server.Server)
	// Output:
	// holder
	// idle
}
