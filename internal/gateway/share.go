package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/fairshare"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// returnedEarlyCount counts the callers that were refused for want of room and returned
// before the time that they were told.
var returnedEarlyCount = telemetry.Counter("gateway_returned_early")

// shares counts what teams used at this entry, and remembers the callers that were refused
// for want of room. It has no effect where the configuration names no teams.
type shares struct {
	mu      sync.Mutex
	uses    *fairshare.Uses
	returns *fairshare.Returns
}

func newShares() *shares {
	return &shares{uses: fairshare.NewUses(), returns: fairshare.NewReturns()}
}

// share returns the share of a team in percent; 0 without a team.
func (s *shares) share(team string, now time.Time) int {
	if team == "" {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.uses.Share(team, now)
}

// started records a request that was started.
func (s *shares) started(team string, tokens int, now time.Time) {
	if team == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uses.Record(team, tokens, now)
}

// arrived returns until when a request goes behind others; zero unless its caller returned
// too soon. key is called only where callers are remembered.
func (s *shares) arrived(key func() uint64, now time.Time) time.Time {
	s.mu.Lock()
	empty := s.returns.Empty()
	s.mu.Unlock()
	if empty {
		return time.Time{}
	}
	k := key()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.returns.Arrived(k, now)
}

func (s *shares) refused(key uint64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returns.Refused(key, until)
}

// callerKey identifies a caller that returns with the same request.
func (x *exchange) callerKey() uint64 {
	d := xxhash.New()
	for _, s := range append([]string{x.call.Caller, x.route.Name, x.teamName(), x.call.URI, x.call.Adapter}, x.call.SharedParts...) {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(x.call.Body)
	return d.Sum64()
}

// checkReturn notes whether the caller returned too soon.
func (x *exchange) checkReturn() {
	if x.team == nil {
		return
	}
	if x.behindUntil = x.shares.arrived(x.callerKey, x.arrived); !x.behindUntil.IsZero() {
		returnedEarlyCount.Add(1)
	}
}

// retryAfterRoom returns when a caller that was refused for want of room should return, and
// remembers it.
func (x *exchange) retryAfterRoom() time.Duration {
	after := fairshare.RetryAfter(x.roomDelay, time.Until(x.startDeadline()), minRetryAfter, time.Until(x.deadline), rand.Float64())
	x.shares.refused(x.callerKey(), time.Now().Add(after))
	return after
}

// noRoom notes that a request was not started for want of room, and the delay of the server
// that was best.
func (x *exchange) noRoom(delay time.Duration) {
	if x.team != nil {
		x.lacksRoom, x.roomDelay = true, delay
	}
}

// share returns the share of the request's team in percent, computed once.
func (x *exchange) share() int {
	if x.shareNow == 0 {
		x.shareNow = x.shares.share(x.teamName(), time.Now())
	}
	return x.shareNow
}

func (x *exchange) withinShare() bool { return x.team != nil && fairshare.Level(x.share()) == 0 }

// behind returns for how long the request goes behind others.
func (x *exchange) behind() time.Duration {
	if x.behindUntil.IsZero() {
		return 0
	}
	return max(time.Until(x.behindUntil), 0)
}

// loadWithinShare returns a load as requests of teams within their shares meet it.
func loadWithinShare(load dispatch.Load, state *wire.EngineState) dispatch.Load {
	if len(state.WithinShareMillis) > 0 {
		load.Delay = make([]time.Duration, 0, len(state.WithinShareMillis))
		for _, ms := range state.WithinShareMillis {
			load.Delay = append(load.Delay, millis(ms))
		}
	}
	return load
}

// announcedDelay returns how long an agent would delay a start of a rank.
func announcedDelay(state *wire.EngineState, rank int) time.Duration {
	if len(state.DelayMillis) == 0 {
		return 0
	}
	return millis(state.DelayMillis[min(rank, len(state.DelayMillis)-1)])
}
