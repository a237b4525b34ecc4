package wire

// MethodFence accepts a Fence message from an agent.
const MethodFence = "fencing.issue"

// Fence requests the next fencing number for orders to a backend server's
// engine. Resending it issues another number, which is harmless to the holder.
type Fence struct {
	Server string `json:"server"`
	// Holder is the name of the process that will send the orders.
	Holder string `json:"holder"`
}

// FenceReply answers Fence once the number is in the replicated log.
type FenceReply struct {
	Number uint64 `json:"number"`
}
