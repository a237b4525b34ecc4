package gateway

import (
	"sync/atomic"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/route"
)

// stop is how far a planned stop is.
type stop struct {
	// endsAt is the time by which it must have ended, in Unix nanoseconds; 0 while none is in progress.
	endsAt atomic.Int64
	// admissionEnded is set once it accepts no more connections.
	admissionEnded atomic.Bool
}

func (s *stop) begun() bool { return s.endsAt.Load() != 0 }

// left returns the time until the stop must have ended.
func (s *stop) left() time.Duration { return time.Until(time.Unix(0, s.endsAt.Load())) }

// Stop begins a planned stop: from now on answers ask callers to reconnect.
func (g *Gateway) Stop() { g.stop.endsAt.Store(time.Now().Add(g.options.StopTimeout).UnixNano()) }

// EndAdmission tells that the stop accepts no more connections: a request that still comes, on an open one,
// is served only if it must end before the stop does.
func (g *Gateway) EndAdmission() { g.stop.admissionEnded.Store(true) }

// Ready reports whether the load balancer should send callers here.
func (g *Gateway) Ready() bool { return !g.stop.begun() && g.configured() }

// mayOutlastStop reports whether a request may still be running when this entry stops. While balancers may
// still send callers here, only streams that are expected to last longer are refused: a refusal costs its
// caller a retry. For a route that has not served a stream yet, the route's timeout is the only known limit.
// Whoever comes later has another entry at hand, and must not be cut off: its deadline decides.
func (x *exchange) mayOutlastStop() bool {
	switch {
	case !x.stop.begun():
		return false
	case x.stop.admissionEnded.Load():
		return x.stop.left() < time.Until(x.deadline)
	case x.route.Kind != route.KindStream:
		return false
	}
	longest := x.durations.typicalMax(x.route.Name)
	if longest == 0 {
		longest = x.route.Timeout
	}
	return x.stop.left() < longest
}
