package slots

import (
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// Action is an instruction to the owner of the table.
type Action interface{ action() }

// Start lets a waiting request run. Its adapter stays pinned until Release.
type Start struct{ Request RequestID }

// Refuse rejects a request that has not run.
type Refuse struct {
	Request RequestID
	Reason  Reason
}

// PermitRequest requests a permit to load, which the owner reports with Granted. A
// PermitRequest with the order of an earlier one updates it.
type PermitRequest struct {
	Order OrderID
	Ref   catalogue.Ref
	// Demand is the sum of the weights of the requests waiting for the adapter.
	Demand float64
	// Since is when the first of them arrived.
	Since time.Time
}

// Return gives back a requested or granted permit.
type Return struct{ Order OrderID }

// Load orders the engine to load an adapter into a free slot.
type Load struct {
	Order OrderID
	Ref   catalogue.Ref
}

// Unload orders the engine to free the slot of an idle adapter.
type Unload struct {
	Order OrderID
	Ref   catalogue.Ref
}

func (Start) action()         {}
func (Refuse) action()        {}
func (PermitRequest) action() {}
func (Return) action()        {}
func (Load) action()          {}
func (Unload) action()        {}
