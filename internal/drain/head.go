package drain

import (
	"net"
	"net/http"

	"github.com/rosemarypass/rosemarypass/internal/intake"
)

const (
	// freeHeadBytes is what each connection may hold of a request's header beside the budget, in bytes. It is the usual
	// limit of configurations; what they allow beyond is charged.
	freeHeadBytes = 16 << 10
	// headMemoryFactor is how much memory net/http takes for each byte of a header: the lines and the fields.
	headMemoryFactor = 2
)

// chargeHead charges bytes that were read of a request's header to the budget. Without room for them the connection gives
// way, and the error ends the read.
func (c *connection) chargeHead(n int) error {
	budget := c.owner.limit.Intake
	held, size := c.countHead(n)
	if budget == nil || size <= freeHeadBytes {
		return nil
	}
	if held == nil {
		held = budget.Begin(func() { c.evict() })
		c.mu.Lock()
		c.head = held
		c.mu.Unlock()
	}
	held.Receive(n)
	if err := held.Grow(int64(size) * headMemoryFactor); err != nil {
		// Others may need the room before the connection is closed.
		held.Release()
		c.evict()
		// net/http closes the connection after an error of this kind, and answers others with a 400.
		return &net.OpError{Op: "read", Net: "tcp", Err: err}
	}
	return nil
}

// countHead counts bytes that were read of a request's header. It returns its size, 0 if no header is being read, and what
// it holds of the budget.
func (c *connection) countHead(n int) (held *intake.Holding, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != http.StateNew && c.state != http.StateIdle {
		return nil, 0
	}
	c.headBytes += n
	return c.head, c.headBytes
}

// updateHead follows a change of the connection's state; mu must be held. A header that was read whole is held until the
// request is answered, and no longer given up for others.
func (c *connection) updateHead(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.head.Complete()
	case http.StateIdle, http.StateClosed:
		c.head.Release()
		c.head, c.headBytes = nil, 0
	}
}
