package gateway

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/credit"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/sharedlimit"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

// A server that names a rate is no candidate while no turn is expected at it, and no failure either: nothing is
// held against it, and what goes to another server is no repeat.

const (
	// urgentTime is the time after a refusal for want of a turn in which requests of less urgent ranks take none.
	urgentTime = time.Second
	// shortageHalfLife is the half-life of refusals for want of a turn.
	shortageHalfLife = time.Second
	// rateDueTime is the time without an answer after which a server that names a rate is asked again whether
	// it still does.
	rateDueTime = time.Second
	// maxTurnWait bounds the time after which callers are told to come back.
	maxTurnWait = 5 * time.Second
)

// shortage is what was refused lately at a service whose servers are all at their rates.
type shortage struct {
	refused float64
	at      time.Time
	// rank is the most urgent one that was refused, at rankAt.
	rank   int
	rankAt time.Time
}

// add records a refusal of a request and returns how many there were of late.
func (s *shortage) add(rank int, now time.Time) float64 {
	s.refused = s.refused*math.Exp2(-now.Sub(s.at).Seconds()/shortageHalfLife.Seconds()) + 1
	s.at = now
	if rank <= s.rank || now.Sub(s.rankAt) >= urgentTime {
		s.rank, s.rankAt = rank, now
	}
	return s.refused
}

// servesLess reports whether requests of a rank must leave the turns to more urgent ones.
func (s *shortage) servesLess(rank int, now time.Time) bool {
	return s != nil && rank > s.rank && now.Sub(s.rankAt) < urgentTime
}

// turns judges the servers of a service that name rates for one request.
type turns struct {
	limits *sharedlimit.Limits
	rates  *mesh.ServerRates
	now    time.Time
	// yields is set where the turns are left to more urgent requests.
	yields bool
	// earliest is when the first turn is expected at a server that has none now.
	earliest time.Time
}

// turnsOf returns the judge of a request's turns. The caller holds mu.
func (s *servers) turnsOf(service string, rank int, now time.Time) turns {
	return turns{limits: s.options.Turns, rates: s.mesh.ServerRates(), now: now, yields: s.shortages[service].servesLess(rank, now)}
}

// judge reports whether a server names a rate, and whether a request may be offered to it as far as that decides.
// could is set where it would be a candidate otherwise. The caller holds servers.mu.
func (t *turns) judge(v *server, could bool) (rated, hasTurn bool) {
	if t.limits == nil || len(t.rates.Rates) == 0 {
		return false, true
	}
	if _, rated = t.rates.Rates[v.life()]; !rated {
		return false, true
	}
	standing := t.limits.Standing(v.rateName)
	at := expected(&standing, v.awaiting, t.now)
	if t.yields && at.Before(t.now.Add(urgentTime)) {
		at = t.now.Add(urgentTime)
	}
	if !at.After(t.now) {
		return true, true
	}
	if could && (t.earliest.IsZero() || at.Before(t.earliest)) {
		t.earliest = at
	}
	return true, false
}

// expected returns when a turn is expected at a server, behind the requests that await one already; not later than
// now where one may be had at once.
func expected(standing *credit.Standing, awaiting int, now time.Time) time.Time {
	ahead := float64(awaiting) + 1
	if !standing.Limit.Limited() || standing.Level >= ahead {
		return now
	}
	at := standing.DeniedUntil
	if ahead > standing.Limit.Burst {
		if later := now.Add(time.Duration(float64(time.Second) / standing.Limit.Rate)); later.After(at) {
			at = later
		}
	}
	return at
}

// awaitTurnAt counts the request among those that have chosen a server that names a rate, until endAwait.
func (x *exchange) awaitTurnAt(v *server) {
	if !x.servers.isRated(v) {
		return
	}
	x.awaitsTurnAt = v
	x.servers.mu.Lock()
	defer x.servers.mu.Unlock()
	v.awaiting++
}

// endAwait ends awaitTurnAt: the request has its turn, or goes elsewhere.
func (x *exchange) endAwait() {
	if x.awaitsTurnAt == nil {
		return
	}
	x.servers.mu.Lock()
	defer x.servers.mu.Unlock()
	x.awaitsTurnAt.awaiting--
	x.awaitsTurnAt = nil
}

// isRated reports whether a server names a rate.
func (s *servers) isRated(v *server) bool {
	_, rated := s.mesh.ServerRates().Rates[v.life()]
	return rated
}

// recordShortage records a refusal for want of a turn, and returns the time after which to come back: behind those
// that were refused before, as the turns of this entry come.
func (s *servers) recordShortage(service string, rank int, earliest, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.shortages[service]
	if known == nil {
		known = &shortage{}
		s.shortages[service] = known
	}
	refused := known.add(rank, now)
	rate := 0.0
	for _, v := range s.byService[service] {
		if !s.isRated(v) {
			continue
		}
		standing := s.options.Turns.Standing(v.rateName)
		rate += standing.Limit.Rate / float64(max(standing.Entries, 1))
	}
	after := max(earliest.Sub(now), minRetryAfter)
	if rate > 0 {
		after += time.Duration(min(refused/rate, maxTurnWait.Seconds()) * float64(time.Second))
	}
	return min(after, maxTurnWait)
}

// takeTurn takes a turn at a server that names a rate, and reports whether there was one.
func (x *exchange) takeTurn(v *server) bool {
	// A turn that was taken before belongs to a request that was sent.
	x.turn = nil
	if x.options.Turns == nil || !x.servers.isRated(v) {
		return true
	}
	d := x.options.Turns.Admit(x.ctx, v.rateName, 1)
	x.endAwait()
	if d.Admitted {
		x.turn = v
		return true
	}
	x.lastReason, x.retryDelay, x.cause = reasonNoTurn, d.RetryAfter, causeNoTurn
	return false
}

// returnTurn gives back the turn of a request that was not sent.
func (x *exchange) returnTurn() {
	if x.turn != nil {
		x.options.Turns.Return(x.turn.rateName, 1)
		x.turn = nil
	}
}

// turnDenied returns what follows where another request had the server's turn: the choice of another one, which is
// no further try.
func (x *exchange) turnDenied() step {
	if x.callerLeft() {
		return stepFail
	}
	if x.denials++; x.denials <= maxTries {
		x.tries--
	}
	return stepRetry
}

// awaitTurn waits for a turn where the caller has the beginning of a stream, and can be told nothing else. It
// reports whether the choice may be made again.
func (x *exchange) awaitTurn(until time.Time) bool {
	if x.status == 0 || until.IsZero() || until.After(x.startDeadline().Add(-minRemaining)) {
		return false
	}
	return wait.For(x.ctx, max(time.Until(until), recheckInterval)) == nil
}

// reasonNoTurn is the reason for refusing a request where all servers are at their rates.
const reasonNoTurn = "each backend server that could take it is at the rate that it names"

// noTurnReason records a refusal for want of a turn, and returns its reason and when to come back.
func (x *exchange) noTurnReason() (string, time.Duration) {
	noTurnCount.Add(1)
	x.cause = causeNoTurn
	after := x.servers.recordShortage(x.service.Name, x.rank, x.picked.noTurnUntil, time.Now())
	x.log.Info("request refused: servers are at the rates that they name", zap.String("request", x.call.ID), zap.String("service", x.service.Name), zap.Int("rank", x.rank),
		zap.Duration("earliest", time.Until(x.picked.noTurnUntil)), zap.Duration("retryAfter", after))
	return reasonNoTurn, after
}
