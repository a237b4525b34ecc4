package mesh

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/backoff"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// peer is another entry.
type peer struct {
	mesh *Mesh
	// client carries greetings, questions all other calls: an answer that is large
	// or waits for something must not hold up the next greeting.
	client    *rpc.Client
	questions *rpc.Client
	kick      chan struct{}
	met       time.Time

	// The mesh's mu guards these.
	process Process
	// linked is true when this process greets it, greetedUs is when it last
	// greeted this one, and agrees is true when it then knew the same processes.
	linked    bool
	greetedUs time.Time
	agrees    bool
	// relies is true when it hears only what those it greets pass on. It says so
	// itself: the two may know different processes for a moment, and differ on
	// who is a hub.
	relies bool
	// heard is when it was last heard, word when anyone last heard it.
	heard time.Time
	word  time.Time
	// failed is when it last failed to answer; 0 once it has.
	failed time.Time
	lost   bool
	// change is this process's count of changes as of its last one.
	change uint64
	// listed is when it last told all the processes that it knows, and listedTo when it
	// was last told all; heardList is up to where it has told its own.
	listed    time.Time
	listedTo  time.Time
	heardList heardList
	// confirmed is the roster change up to which the peer has heard.
	confirmed uint64
	// missing are servers of which it knows nothing but that they live.
	missing []string
	// strikes are what the peer has not been told.
	strikes []suspicion.Strike
}

// way is how a server was heard of, which decides whom to tell that it lives.
type way uint8

const (
	// wayDirect: from the server itself, or from a peer that relies on this
	// process; all must be told.
	wayDirect way = iota
	// wayHub: from a hub, which tells the other hubs itself; only those who rely on
	// this process must be told.
	wayHub
)

// active is true when the peer must be told news: one of the two greets the
// other. The caller holds mu.
func (q *peer) active(now time.Time) bool {
	return q.linked || now.Sub(q.greetedUs) < heardAge
}

// isLost is true while the peer does not answer. The caller holds mu.
func (q *peer) isLost(now time.Time) bool {
	return !q.failed.IsZero() && now.Sub(q.failed) < lostAge && now.Sub(q.heard) > heardAge
}

// run greets the peer while there is reason to, and rests otherwise.
func (q *peer) run(ctx context.Context) {
	defer q.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var trouble backoff.Trouble
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.kick:
		case <-timer.C:
		}
		news, rest := q.next(time.Now())
		switch rest {
		case restForgotten:
			return
		case restUntilWoken:
			continue
		case restShortly:
			timer.Reset(syncInterval)
			continue
		}
		pause := syncInterval
		if err := q.greet(ctx, news, backoff.Patience(syncTimeout, longestSync, trouble.Lasts(time.Now()))); err != nil {
			pause = greetingTries.Pause(trouble.Failed(time.Now()), 0, rand.Float64())
		} else {
			trouble.Over()
			if news.more {
				q.wake()
			}
		}
		timer.Reset(pause)
	}
}

// rest says what to do instead of a greeting.
type rest uint8

const (
	restNot rest = iota
	// restShortly passes over one greeting: the peer has just greeted this
	// process, and there is no news.
	restShortly
	restUntilWoken
	restForgotten
)

// next decides whether to greet now, and with which news.
func (q *peer) next(now time.Time) (pending, rest) {
	m := q.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[q.process.Address] != q {
		return pending{}, restForgotten
	}
	if !q.active(now) {
		return pending{}, restUntilWoken
	}
	news := q.news(now)
	if !news.empty() {
		return news, restNot
	}
	q.confirmed = news.change
	// One that relies on the peer must say so itself.
	if !q.linked || q.agrees && !m.relies && now.Sub(q.greetedUs) < syncInterval && !news.relist {
		return pending{}, restShortly
	}
	return news, restNot
}

// greet sends the peer what it may not have heard.
func (q *peer) greet(ctx context.Context, sent pending, patience time.Duration) error {
	sent.From, sent.Digest = q.mesh.Self(), q.mesh.knownDigest()
	if sent.relist {
		sent.Digest = 0
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var reply greetingReply
	if err := q.client.Call(ctx, methodSync, sent.greeting, &reply); err != nil {
		q.noteLost(err)
		return err
	}
	now := time.Now()
	q.mesh.learn(reply.From, now)
	q.mesh.mu.Lock()
	q.confirmed = max(q.confirmed, sent.change)
	q.strikes = q.strikes[min(len(sent.Strikes), len(q.strikes)):]
	q.missing, q.heardList = reply.Missing, reply.Heard
	regained := q.lost
	q.lost, q.failed = false, time.Time{}
	if sent.relist {
		q.listed = now
	}
	for _, p := range reply.Known {
		q.mesh.remember(p, now)
	}
	q.mesh.noteProgress()
	q.mesh.mu.Unlock()
	if regained {
		q.mesh.log.Info("entry reached again", zap.String("peer", reply.From.Name))
	}
	return nil
}

func (q *peer) noteLost(err error) {
	now := time.Now()
	q.mesh.mu.Lock()
	if q.failed.IsZero() || !q.isLost(now) {
		q.mesh.relink = true
	}
	q.failed = now
	lost := !q.lost && !q.heard.IsZero() && now.Sub(q.heard) > heardAge
	if lost {
		q.lost = true
		// What it missed is told from the beginning.
		q.confirmed = 0
	}
	name := q.process.Name
	q.mesh.mu.Unlock()
	if lost {
		q.mesh.log.Warn("entry not reached any more", zap.String("peer", name), telemetry.Cause(err))
	}
}

// pending is a greeting with what decides what its answer confirms.
type pending struct {
	greeting
	change uint64
	// relist is true when the peer is asked for all the processes that it knows.
	relist bool
	// more is true when not all news went into it.
	more bool
}

func (p *pending) empty() bool { return len(p.Servers)+len(p.Beats)+len(p.Strikes) == 0 }

// news lists what the peer has not confirmed: in full what says more than that
// a server lives, by a beat the servers that it hears of on no shorter way. The
// caller holds mu.
func (q *peer) news(now time.Time) pending {
	m := q.mesh
	p := pending{change: q.confirmed, relist: now.Sub(q.listed) >= relistInterval}
	p.Relies, p.Heard = m.relies, q.heardList
	p.Strikes = slices.Clone(q.strikes)
	for _, e := range m.roster.Since(q.confirmed) {
		if len(p.Servers) == greetingServers {
			p.more = true
			break
		}
		p.change = e.Change
		switch {
		case e.Material > q.confirmed:
			p.Servers = append(p.Servers, e.Server)
		case m.heardFrom[e.ID] == wayDirect || q.relies:
			p.Beats = append(p.Beats, roster.Beat{ID: e.ID, Born: e.Born, Sequence: e.Sequence})
		}
	}
	if !p.more {
		p.change = m.roster.Change()
	}
	for _, id := range q.missing {
		if e, ok := m.roster.Get(id); ok {
			p.Servers = append(p.Servers, e.Server)
		}
	}
	return p
}

// wake makes the peer's duty look at once whether there is news.
func (q *peer) wake() {
	select {
	case q.kick <- struct{}{}:
	default:
	}
}

// errGreetedTwice means that a greeting came while an earlier one of the same process
// still waited: its sender has given that one up.
var errGreetedTwice = errors.New("an earlier greeting of this process is still being taken")

func (m *Mesh) takeGreeting(_ context.Context, in greeting) (greetingReply, error) {
	if _, taking := m.taking.LoadOrStore(in.From.Address, true); taking {
		return greetingReply{}, errGreetedTwice
	}
	defer m.taking.Delete(in.From.Address)
	now := time.Now()
	m.learn(in.From, now)
	digest := m.knownDigest()
	m.mu.Lock()
	from := m.peers[in.From.Address]
	reply := greetingReply{Missing: m.takeServers(from, in, now)}
	m.takeStrikes(from, !in.Relies, in.Strikes, now)
	if from != nil {
		wasActive := from.active(now)
		from.greetedUs, from.agrees, from.relies = now, in.Digest == digest, in.Relies
		if !wasActive {
			from.wake()
		}
	}
	whole := in.Digest == 0 || from == nil || now.Sub(from.listedTo) >= time.Duration(len(m.peers))*listPause
	if digest != in.Digest && whole && from != nil {
		from.listedTo = now
	}
	m.mu.Unlock()
	reply.From = m.Self()
	switch {
	case digest == in.Digest:
		_, reply.Heard = m.knownSince(in.Heard)
	case whole:
		reply.Known, reply.Heard = m.knownSince(heardList{})
	default:
		reply.Known, reply.Heard = m.knownSince(in.Heard)
	}
	return reply, nil
}

// takeServers takes the servers of a greeting, and passes on what those who
// greet this process as their hub could not hear otherwise. It returns the
// servers of which no more is known than that they live. The caller holds mu.
func (m *Mesh) takeServers(from *peer, in greeting, now time.Time) (missing []string) {
	heard := wayHub
	if in.Relies {
		heard = wayDirect
	}
	anyMaterial := false
	for _, s := range in.Servers {
		news, material := m.roster.Take(s, now)
		if news {
			m.heardFrom[s.ID] = heard
			delete(m.unheard, s.ID)
		}
		anyMaterial = anyMaterial || material
	}
	for _, b := range in.Beats {
		before, _ := m.roster.Get(b.ID)
		if m.roster.Hear(b, now) {
			missing = append(missing, b.ID)
			continue
		}
		if b.Sequence > before.Sequence {
			m.heardFrom[b.ID] = heard
			delete(m.unheard, b.ID)
		}
	}
	if len(in.Servers) > 0 {
		m.noteProgress()
	}
	if anyMaterial {
		for _, q := range m.passOn(from, !in.Relies, now) {
			q.wake()
		}
	}
	return missing
}

// passOn lists the peers that must be told what came from one: those that rely on
// this process and, unless it came from a hub, all others. The caller holds mu.
func (m *Mesh) passOn(from *peer, fromHub bool, now time.Time) []*peer {
	var others []*peer
	for _, q := range m.peers {
		if q != from && q.active(now) && (!fromHub || q.relies) {
			others = append(others, q)
		}
	}
	return others
}

// maxStrikesUntold bounds the strikes that wait for a peer that is away.
const maxStrikesUntold = 256

// Strike tells all entries that a server crashed under a request.
func (m *Mesh) Strike(strike suspicion.Strike) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.log.Warn("a backend server ended while it ran a request", zap.Uint64("fingerprint", strike.Fingerprint), zap.String("server", strike.Server))
	m.takeStrikes(nil, false, []suspicion.Strike{strike}, time.Now())
}

// takeStrikes takes strikes and passes on those that are news. The caller holds
// mu.
func (m *Mesh) takeStrikes(from *peer, fromHub bool, strikes []suspicion.Strike, now time.Time) {
	for _, strike := range strikes {
		if !m.strikes.Take(strike, now) {
			continue
		}
		for _, q := range m.passOn(from, fromHub, now) {
			if len(q.strikes) < maxStrikesUntold {
				q.strikes = append(q.strikes, strike)
			}
			q.wake()
		}
	}
}

// Held is true for a request that has crashed too many servers.
func (m *Mesh) Held(fingerprint uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.strikes.Held(fingerprint, time.Now())
}

// Ended is true when a server is known to be gone or to have started anew.
func (m *Mesh) Ended(id string, born int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.roster.Get(id)
	return !ok || e.Gone || e.Born != born
}

// Announce takes what a backend server says of itself. For news that others
// must act on it returns once the entries that can be reached have confirmed
// them, or ErrParted.
func (m *Mesh) Announce(ctx context.Context, s roster.Server) error {
	if !m.Connected() {
		return ErrParted
	}
	now := time.Now()
	m.mu.Lock()
	_, material := m.roster.Take(s, now)
	m.heardFrom[s.ID] = wayDirect
	delete(m.unheard, s.ID)
	change := m.roster.Change()
	if material {
		m.wakeAll()
		m.noteProgress()
	}
	m.mu.Unlock()
	if !material {
		return nil
	}
	m.log.Info("backend server announced", zap.String("server", s.ID), zap.String("service", s.Service), zap.String("address", s.Address),
		zap.Bool("leaving", s.Leaving), zap.Int64("born", s.Born), zap.Int64("sequence", s.Sequence))
	if !s.Leaving {
		return nil
	}
	return m.confirm(ctx, change)
}

// Leave marks a server as gone and spreads it like Announce.
func (m *Mesh) Leave(ctx context.Context, id string, born int64) error {
	if !m.Connected() {
		return ErrParted
	}
	m.mu.Lock()
	if known, ok := m.roster.Get(id); ok && known.Born > born && born != 0 {
		m.mu.Unlock()
		return nil
	}
	if _, ok := m.roster.Leave(id, time.Now()); !ok {
		m.mu.Unlock()
		return nil
	}
	m.heardFrom[id] = wayDirect
	change := m.roster.Change()
	m.wakeAll()
	m.noteProgress()
	m.mu.Unlock()
	m.log.Info("backend server left", zap.String("server", id))
	return m.confirm(ctx, change)
}

// wakeAll tells everyone at once. The caller holds mu.
func (m *Mesh) wakeAll() {
	for _, q := range m.passOn(nil, false, time.Now()) {
		q.wake()
	}
}

// confirm waits until all entries that can be reached have heard of a change.
// A server that was told so and still got work would be cut off in the middle
// of it.
func (m *Mesh) confirm(ctx context.Context, change uint64) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		m.mu.Lock()
		missing := m.unconfirmed(change, time.Now())
		progress := m.progress
		m.mu.Unlock()
		if missing == 0 {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			if m.Connected() {
				return nil
			}
			return ErrParted
		}
	}
}

// unconfirmed counts the reached entries that have not confirmed a change. The
// caller holds mu.
func (m *Mesh) unconfirmed(change uint64, now time.Time) int {
	missing := 0
	for _, q := range m.peers {
		if q.active(now) && q.process.Started != 0 && now.Sub(q.heard) < heardAge && q.confirmed < change {
			missing++
		}
	}
	return missing
}
