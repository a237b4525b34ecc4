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

// shares records the tokens that teams used at this entry, and the callers that were refused
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

// started records a started request of a team and the tokens that it takes.
func (s *shares) started(team string, tokens int, now time.Time) {
	if team == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uses.Record(team, tokens, now)
}

// arrived returns the time until which a request goes behind others; zero unless its caller
// returned too soon. key is called only if refused callers are recorded.
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

// refused records a caller that was told to return at the given time.
func (s *shares) refused(key uint64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returns.Refused(key, until)
}

// callerKey returns a hash that identifies a caller and its request.
func (x *exchange) callerKey() uint64 {
	d := xxhash.New()
	for _, s := range append([]string{x.call.Caller, x.route.Name, x.teamName(), x.call.URI, x.call.Adapter}, x.call.SharedParts...) {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(x.call.Body)
	return d.Sum64()
}

// checkReturn sets behindUntil if the caller returned before the time that it was told.
func (x *exchange) checkReturn() {
	if x.team == nil {
		return
	}
	if x.behindUntil = x.shares.arrived(x.callerKey, x.arrived); !x.behindUntil.IsZero() {
		returnedEarlyCount.Add(1)
	}
}

// retryAfterRoom returns after which time a caller that was refused for want of room should
// return, and records the caller.
func (x *exchange) retryAfterRoom() time.Duration {
	after := fairshare.RetryAfter(x.roomDelay, time.Until(x.startDeadline()), minRetryAfter, time.Until(x.deadline), rand.Float64())
	x.shares.refused(x.callerKey(), time.Now().Add(after))
	return after
}

// recordNoRoom records that a request was not started for want of room, and the expected
// delay of its start. It has no effect on requests without a team.
func (x *exchange) recordNoRoom(delay time.Duration) {
	if x.team != nil {
		x.lacksRoom, x.roomDelay = true, delay
	}
}

// share returns the share of the request's team in percent, computed once.
func (x *exchange) share() int {
	if x.teamShare == 0 {
		x.teamShare = x.shares.share(x.teamName(), time.Now())
	}
	return x.teamShare
}

func (x *exchange) withinShare() bool { return x.team != nil && fairshare.Level(x.share()) == 0 }

// behind returns for how long the request goes behind others.
func (x *exchange) behind() time.Duration {
	if x.behindUntil.IsZero() {
		return 0
	}
	return max(time.Until(x.behindUntil), 0)
}

// loadWithinShare returns a load with the delays of requests of teams within their shares.
func loadWithinShare(load dispatch.Load, state *wire.EngineState) dispatch.Load {
	if len(state.WithinShareMillis) > 0 {
		load.Delay = make([]time.Duration, 0, len(state.WithinShareMillis))
		for _, ms := range state.WithinShareMillis {
			load.Delay = append(load.Delay, millis(ms))
		}
	}
	return load
}

// announcedDelay returns the delay of a start that an agent reports for a rank.
func announcedDelay(state *wire.EngineState, rank int) time.Duration {
	if len(state.DelayMillis) == 0 {
		return 0
	}
	return millis(state.DelayMillis[min(rank, len(state.DelayMillis)-1)])
}
