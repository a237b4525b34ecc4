package wire

// MethodFence takes a Fence message from an agent.
const MethodFence = "fencing.issue"

// Fence asks for the next fencing number of orders to a backend server's
// engine. Sending it again issues a further number, which does no harm to its
// holder.
type Fence struct {
	Server string `json:"server"`
	// Holder names the process that will give the orders.
	Holder string `json:"holder"`
}

// FenceReply answers Fence once the number is in the replicated log.
type FenceReply struct {
	Number uint64 `json:"number"`
}
