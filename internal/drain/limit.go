package drain

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/intake"
	"github.com/rosemarypass/rosemarypass/internal/socket"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// Limit bounds the open connections of a server. At the bound a new connection takes the place of the one that has waited
// for a request, or for the rest of its header, the longest: never of one whose request is being answered.
type Limit struct {
	// Connections is the bound; 0 for none.
	Connections int
	// Listener names the listener in the log.
	Listener string
	Log      *zap.Logger
	// Intake bounds what headers hold, and gives up the request that is read the most slowly when no connection waits for
	// one; nil for neither.
	Intake *intake.Budget
}

var (
	connectionsEndedCount   = telemetry.Counter("connections_ended_at_limit")
	connectionsRefusedCount = telemetry.Counter("connections_refused")
)

const (
	// roomTimeout bounds the wait for the end of a connection that gives way. Its goroutine only has to be scheduled.
	roomTimeout = 100 * time.Millisecond
	// atLimitEnd is how long no connection must have been ended or refused until the limit counts as no longer reached.
	atLimitEnd = 5 * time.Second
	// maxLooks is how many connections whose next request has arrived unread are passed over in the search for one that
	// gives way.
	maxLooks = 4
)

// newAtLimit returns the condition that the limit of a listener is reached.
func newAtLimit(limit Limit) *telemetry.Condition {
	log := limit.Log
	if log == nil {
		log = zap.NewNop()
	}
	return telemetry.NewCondition(log.With(zap.String("listener", limit.Listener), zap.Int("limit", limit.Connections)),
		"as many connections are open as may be", "fewer connections are open than may be again", atLimitEnd)
}

// admit makes room for a connection that was accepted, and returns false if it had to be closed for lack of room.
func (c *Connections) admit(conn *connection) bool {
	if !c.overLimit() {
		return true
	}
	c.atLimit.Observe()
	if c.endLongestQuiet(conn) {
		connectionsEndedCount.Add(1)
		if c.awaitRoom() {
			return true
		}
	} else {
		// Its caller is answered first, so that the room comes too late for this connection.
		c.limit.Intake.GiveUpSlowest()
	}
	c.refuse(conn)
	return false
}

// refuse closes a connection of which nothing was read.
func (c *Connections) refuse(conn *connection) {
	connectionsRefusedCount.Add(1)
	conn.mu.Lock()
	conn.evicted = true
	conn.mu.Unlock()
	_ = conn.Close()
}

// overLimit reports whether more connections are open than may be.
func (c *Connections) overLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit.Connections > 0 && len(c.open) > c.limit.Connections
}

// awaitRoom waits until a connection that gives way is closed, and returns false if that takes too long.
func (c *Connections) awaitRoom() bool {
	timer := time.NewTimer(roomTimeout)
	defer timer.Stop()
	for c.overLimit() {
		select {
		case <-c.closed:
		case <-timer.C:
			return !c.overLimit()
		}
	}
	return true
}

// endLongestQuiet ends the connection that has waited for a request the longest, other than the given one, and reports
// whether there was one.
func (c *Connections) endLongestQuiet(other *connection) bool {
	for range maxLooks {
		victim := c.longestQuiet(other)
		if victim == nil {
			return false
		}
		if victim.passOver() {
			continue
		}
		if victim.evict() {
			return true
		}
	}
	return false
}

// longestQuiet returns the connection that has waited for a request the longest, nil if none does.
func (c *Connections) longestQuiet(other *connection) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found *connection
	var since time.Time
	for conn := range c.open {
		if conn == other {
			continue
		}
		usedAt, waits := conn.waitsSince()
		if waits && (found == nil || usedAt.Before(since)) {
			found, since = conn, usedAt
		}
	}
	return found
}

// waitsSince returns since when a connection has waited for a request or the rest of its header; false if it does not.
func (c *connection) waitsSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usedAt, !c.evicted && (c.state == http.StateNew || c.state == http.StateIdle)
}

// passOver reports whether bytes of the connection's next request have arrived. It then counts as used.
func (c *connection) passOver() bool {
	if !socket.HasUnread(c.TCPConn) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usedAt = time.Now()
	return true
}

// evict ends the wait for a request, whereupon the server closes the connection, and reports whether it still waited. A
// request that had been read whole takes that back.
func (c *connection) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != http.StateNew && c.state != http.StateIdle {
		return false
	}
	c.evicted = true
	c.endReads()
	return true
}

// Write implements net.Conn. Nothing is written to a connection that gives way: net/http would answer the part of a header
// with a 400, after which no caller tries again.
func (c *connection) Write(p []byte) (int, error) {
	if c.isEvicted() {
		return 0, net.ErrClosed
	}
	return c.TCPConn.Write(p)
}

// keep takes back that the connection gives way, since it has a request.
func (c *connection) keep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = false
	c.resume()
}

type connectionKey struct{}

// withConnection returns a ConnContext that also names the tracked connection to keepConnection.
func withConnection(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, conn net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, conn)
		}
		if tracked, ok := trackedOf(conn); ok {
			ctx = context.WithValue(ctx, connectionKey{}, tracked)
		}
		return ctx
	}
}

// keepConnection keeps the connection of a request with this context.
func keepConnection(ctx context.Context) {
	if tracked, ok := ctx.Value(connectionKey{}).(*connection); ok {
		tracked.keep()
	}
}
