package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/upstream"
)

// strikes tracks the servers at which the connection of a request broke. When such a server
// turns out to have ended, the request gets a strike. A connection can break for other reasons,
// which must not count against the request.
type strikes struct {
	gateway *Gateway
	// wakeup holds a value when a call broke that has not been looked at.
	wakeup chan struct{}

	mu      sync.Mutex
	pending []pendingStrike
	// followed holds the servers of the pending strikes.
	followed map[upstream.Target]*followed
	// unanswered holds the calls without an answer, lookedAt is when they were last looked at.
	unanswered map[*unanswered]bool
	lookedAt   time.Time
}

// pendingStrike is a broken call whose server is not known to have ended.
type pendingStrike struct {
	strike  suspicion.Strike
	request suspicion.Request
	target  upstream.Target
	born    int64
	sentAt  time.Time
	brokeAt time.Time
	// proof is what the answer proves if its server lives on: the end of the connection was the end of
	// the answer, or that of the server. It is empty where the call broke.
	proof []suspicion.Strike
}

// brokenCall is a call whose connection has ended.
type brokenCall struct {
	call   *Call
	server *server
	sentAt time.Time
	// output is the time for which output had been arriving.
	output time.Duration
	// proof is empty unless the answer was whole, if its server lives on.
	proof []suspicion.Strike
}

// followed is a server at which calls broke.
type followed struct {
	ending *suspicion.Ending
	// dialing is true while a connection is being opened, conn the one that is open; nil while
	// there is none.
	dialing bool
	conn    *upstream.Idling
}

const (
	// strikeWait is the time within which the end of a crashed server must become known.
	strikeWait = 20 * time.Second
	// firstLook and settleInterval bound the pause between two looks at servers whose end is
	// uncertain; it doubles after each.
	firstLook      = 10 * time.Millisecond
	settleInterval = 500 * time.Millisecond
	// maxPending limits the number of tracked broken calls.
	maxPending = 1024
)

// fingerprint identifies repetitions of the same request, from whichever address they come.
func (c *Call) fingerprint() uint64 {
	h := xxhash.New()
	for _, part := range []string{c.Method, c.URI, c.Host, c.Adapter} {
		_, _ = h.WriteString(part)
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

// request returns what the request is known by.
func (c *Call) request() suspicion.Request {
	request := suspicion.Request{Fingerprint: c.fingerprint()}
	for _, id := range c.SharedParts[:min(len(c.SharedParts), suspicion.MaxParts)] {
		part := suspicion.Part{ID: id, Fingerprint: xxhash.Sum64String("part\x00" + id)}
		if !slices.Contains(request.Parts, part) {
			request.Parts = append(request.Parts, part)
		}
	}
	return request
}

// connBroken records that the connection to a server ended during a request.
func (s *strikes) connBroken(b brokenCall) {
	v := b.server
	// A server that leaves ends what it still runs when its time is up.
	if announced, _ := s.gateway.mesh.Announced(v.entry().ID); announced.Leaving {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxPending {
		strikesDroppedCount.Add(1)
		return
	}
	request := b.call.request()
	strike := suspicion.Strike{Fingerprint: request.Fingerprint, Server: v.entry().ID, OutputMillis: b.output.Milliseconds()}
	s.pending = append(s.pending, pendingStrike{
		strike: strike, request: request, target: targetOf(v), born: v.entry().Born, sentAt: b.sentAt, brokeAt: time.Now(), proof: b.proof,
	})
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

var (
	strikeCount = telemetry.Counter("gateway_strikes")
	// strikesDroppedCount counts the broken calls that are not tracked because too many are.
	strikesDroppedCount = telemetry.Counter("gateway_strikes_dropped")
	// strikeLatency is the time from a broken call to the strike.
	strikeLatency = telemetry.LatencyOf("gateway_strike_millis")
)

// run looks at broken calls as they come, and again at those whose servers' end is uncertain, until
// ctx ends.
func (s *strikes) run(ctx context.Context) {
	pause := settleInterval
	timer := time.NewTimer(pause)
	defer timer.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeup:
			pause = firstLook
		case <-timer.C:
			pause = min(2*pause, settleInterval)
		}
		s.look(ctx, time.Now(), &probes)
		timer.Reset(pause)
	}
}

// settle looks at all broken calls once and waits for what it finds.
func (s *strikes) settle(now time.Time) {
	var probes sync.WaitGroup
	s.look(context.Background(), now, &probes)
	probes.Wait()
}

// look checks the connections to the servers of broken calls and opens new ones where they are due.
func (s *strikes) look(ctx context.Context, now time.Time, probes *sync.WaitGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pending {
		if s.followed[p.target] == nil {
			s.followed[p.target] = &followed{ending: suspicion.NewEnding(settleHeartbeats * s.gateway.options.Heartbeat)}
		}
	}
	for target, f := range s.followed {
		f.checkConn(now)
		if !f.dialing && f.ending.ProbeDue(now) {
			f.dialing = true
			probes.Go(func() { s.probe(ctx, target, f, now) })
		}
	}
	s.judge(now)
	s.lookUnanswered(now)
}

// checkConn records whether the open connection still is.
func (f *followed) checkConn(now time.Time) {
	switch {
	case f.conn == nil:
	case f.conn.IsOpen():
		f.ending.StillOpen(now)
	default:
		f.conn.Close()
		f.conn = nil
		f.ending.Closed(now)
	}
}

// probe opens a connection to a server at which calls broke. The directory says that a server has
// ended only when a later one has its address, which takes as long as a restart.
func (s *strikes) probe(ctx context.Context, target upstream.Target, f *followed, begun time.Time) {
	start := time.Now()
	conn, err := s.gateway.pool.Dial(ctx, target)
	now := begun.Add(time.Since(start))
	s.mu.Lock()
	defer s.mu.Unlock()
	f.dialing = false
	switch {
	case err == nil && s.followed[target] != f:
		conn.Release()
	case err == nil:
		f.conn = conn
		f.ending.Opened(now)
	case errors.Is(err, syscall.ECONNREFUSED):
		f.ending.Refused()
	default:
		f.ending.Unanswered(now)
	}
	s.judge(now)
}

// judge reports the strikes of servers that are known to have ended, and drops the broken calls
// whose servers live on or whose time is up. The caller holds mu.
func (s *strikes) judge(now time.Time) {
	var left []pendingStrike
	needed := make(map[upstream.Target]bool)
	for _, p := range s.pending {
		f := s.followed[p.target]
		if f == nil {
			// It broke since the last look.
			left = append(left, p)
			continue
		}
		if f.ending.LivesOn(p.brokeAt, now) {
			s.gateway.mesh.AnsweredBefore(now.Sub(p.brokeAt), p.proof...)
			continue
		}
		if now.Sub(p.brokeAt) >= strikeWait {
			continue
		}
		if p.strike.Evidence = s.evidence(&p, f.ending, now); p.strike.Evidence != "" {
			s.record(p, now.Sub(p.brokeAt))
			continue
		}
		left = append(left, p)
		needed[p.target] = true
	}
	s.pending = left
	for target, f := range s.followed {
		if needed[target] {
			continue
		}
		if f.conn != nil {
			f.conn.Release()
		}
		delete(s.followed, target)
	}
}

// evidence returns how the server of a broken call is known to have ended; it is empty while it is
// not.
func (s *strikes) evidence(p *pendingStrike, ending *suspicion.Ending, now time.Time) suspicion.Evidence {
	if evidence := s.gateway.mesh.Ended(p.strike.Server, p.born); evidence != "" {
		return evidence
	}
	connected := func() bool { return s.gateway.pool.HasOpen(p.target) || s.gateway.servers.serves(p.strike.Server) }
	return ending.Evidence(connected, now)
}

// record makes a strike of a broken call whose server ended.
func (s *strikes) record(p pendingStrike, after time.Duration) {
	strikeCount.Add(1)
	strikeLatency.Record(after)
	s.gateway.log.Warn("backend server ended while running a request", zap.Uint64("fingerprint", p.strike.Fingerprint), zap.Strings("parts", partIDs(p.request)),
		zap.String("server", p.strike.Server), zap.String("evidence", string(p.strike.Evidence)), zap.Int64("output", p.strike.OutputMillis), zap.Duration("after", after))
	strikes := []suspicion.Strike{p.strike}
	if p.strike.Early() {
		for _, strike := range mesh.PartStrikes(p.request) {
			strike.Server, strike.Evidence, strike.OutputMillis = p.strike.Server, p.strike.Evidence, p.strike.OutputMillis
			// Which of two ends came first is decided by when the calls broke, not by when that was known.
			strike.AgeMillis, strike.RunMillis = after.Milliseconds(), p.brokeAt.Sub(p.sentAt).Milliseconds()
			strikes = append(strikes, strike)
		}
	}
	s.gateway.mesh.Strike(strikes...)
}

// partIDs returns the IDs of the parts that a request is known by.
func partIDs(request suspicion.Request) []string {
	ids := make([]string, 0, len(request.Parts))
	for _, part := range request.Parts {
		ids = append(ids, part.ID)
	}
	return ids
}

// proveEarly records that a reply has got past the time in which what crashes servers does so.
func (x *exchange) proveEarly(r *reply) {
	if !r.proved && r.outputFor(r.now()) > suspicion.BeginTime {
		r.proved = true
		x.strikes.settled(r.watched)
		x.mesh.Proved(x.identity())
	}
}

// proveWhole records what a whole answer proves. An answer that ended with its connection looks whole as
// well where its server ended.
func (x *exchange) proveWhole(r *reply) {
	var proof []suspicion.Strike
	status, output := r.response.Status, r.outputFor(r.now())
	if status < http.StatusInternalServerError {
		proof = append(proof, suspicion.Strike{Fingerprint: x.fingerprint()})
	}
	if status < http.StatusMultipleChoices && !r.proved {
		proof = append(proof, mesh.PartStrikes(x.identity())...)
	}
	if r.response.Framed || output > suspicion.BeginTime {
		x.mesh.AnsweredBefore(0, proof...)
		return
	}
	x.strikes.connBroken(brokenCall{call: &x.call, server: r.server, sentAt: x.sentAt, output: output, proof: proof})
}
