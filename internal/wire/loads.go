package wire

import "github.com/rosemarypass/rosemarypass/coord/broker"

// MethodLoads accepts a Loads message from an agent and waits, up to
// WaitMillis, until the agent has a permit for one of the wanted loads.
const MethodLoads = "loads.sync"

// Loads reports to the load broker all loads that an agent requests or has in flight.
type Loads struct {
	Report broker.Report `json:"report"`
	// Sequence increases with every message of an agent's incarnation, so that a
	// delayed message cannot override a newer one.
	Sequence   uint64 `json:"sequence"`
	WaitMillis int64  `json:"waitMillis"`
}

// LoadsReply answers Loads.
type LoadsReply struct {
	// Granted lists the wanted orders that may start loading.
	Granted []uint64 `json:"granted,omitempty"`
}
