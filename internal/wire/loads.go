package wire

import "github.com/rosemarypass/rosemarypass/coord/broker"

// MethodLoads takes a Loads message from an agent and waits, up to
// WaitMillis, until it has a permit for one of the wanted loads.
const MethodLoads = "loads.sync"

// Loads tells the load broker everything that an agent wants and holds.
type Loads struct {
	Report broker.Report `json:"report"`
	// Sequence grows with every message of an agent's incarnation, so that a
	// late one cannot undo a newer.
	Sequence   uint64 `json:"sequence"`
	WaitMillis int64  `json:"waitMillis"`
}

// LoadsReply answers Loads.
type LoadsReply struct {
	// Granted lists the wanted orders that may load now.
	Granted []uint64 `json:"granted,omitempty"`
}
