package mesh

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// peer is another entry that this one greets.
type peer struct {
	mesh   *Mesh
	client *rpc.Client
	kick   chan struct{}
	met    time.Time

	// The mesh's mu guards these.
	process Process
	heard   time.Time
	// confirmed is the roster change up to which the peer has heard.
	confirmed uint64
	lost      bool
	// strikes are what the peer has not been told.
	strikes []suspicion.Strike
}

func (q *peer) run(ctx context.Context) {
	defer q.client.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.kick:
		case <-timer.C:
		}
		pause := syncInterval
		if err := q.greet(ctx); err != nil {
			pause = failurePause
			if q.forgotten() {
				return
			}
		}
		timer.Reset(pause)
	}
}

// forgotten drops a peer that has been silent for long.
func (q *peer) forgotten() bool {
	q.mesh.mu.Lock()
	defer q.mesh.mu.Unlock()
	last := q.heard
	if last.IsZero() {
		last = q.met
	}
	if time.Since(last) < forgetAge {
		return false
	}
	delete(q.mesh.peers, q.process.Address)
	return true
}

// greet sends the peer what it may not have heard.
func (q *peer) greet(ctx context.Context) error {
	servers, strikes, change := q.news()
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var reply greetingReply
	err := q.client.Call(ctx, methodSync, greeting{From: q.mesh.Self(), Servers: servers, Strikes: strikes, Digest: digest(q.mesh.Known())}, &reply)
	if err != nil {
		q.noteLost(err)
		return err
	}
	now := time.Now()
	q.mesh.learn(reply.From, now)
	q.mesh.mu.Lock()
	q.confirmed = max(q.confirmed, change)
	q.strikes = q.strikes[min(len(strikes), len(q.strikes)):]
	regained := q.lost
	q.lost = false
	for _, p := range reply.Known {
		q.mesh.meetLocked(p)
	}
	q.mesh.noteProgress()
	q.mesh.mu.Unlock()
	if regained {
		q.mesh.log.Info("entry reached again", zap.String("peer", reply.From.Name))
	}
	return nil
}

func (q *peer) noteLost(err error) {
	q.mesh.mu.Lock()
	lost := !q.lost && !q.heard.IsZero() && time.Since(q.heard) > heardAge
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

// news lists the servers that the peer has not confirmed: those that announced
// themselves here, and of the others what says more than that they live.
func (q *peer) news() ([]roster.Server, []suspicion.Strike, uint64) {
	m := q.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	var servers []roster.Server
	for _, e := range m.roster.Since(q.confirmed) {
		if m.direct[e.ID] || e.Material > q.confirmed {
			servers = append(servers, e.Server)
		}
	}
	return servers, slices.Clone(q.strikes), m.roster.Change()
}

// wake sends news at once.
func (q *peer) wake() {
	select {
	case q.kick <- struct{}{}:
	default:
	}
}

func (m *Mesh) takeGreeting(_ context.Context, in greeting) (greetingReply, error) {
	now := time.Now()
	m.learn(in.From, now)
	m.mu.Lock()
	for _, s := range in.Servers {
		if news, _ := m.roster.Take(s, now); news {
			delete(m.direct, s.ID)
		}
	}
	if len(in.Servers) > 0 {
		m.noteProgress()
	}
	for _, strike := range in.Strikes {
		m.strikes.Take(strike, now)
	}
	m.mu.Unlock()
	reply := greetingReply{From: m.Self(), Known: m.Known()}
	if digest(reply.Known) == in.Digest {
		reply.Known = nil
	}
	return reply, nil
}

// maxStrikesUntold bounds the strikes that wait for a peer that is away.
const maxStrikesUntold = 256

// Strike tells all entries that a server crashed under a request.
func (m *Mesh) Strike(strike suspicion.Strike) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.strikes.Take(strike, time.Now()) {
		return
	}
	m.log.Warn("a backend server ended while it ran a request", zap.Uint64("fingerprint", strike.Fingerprint), zap.String("server", strike.Server))
	for _, q := range m.peers {
		if len(q.strikes) < maxStrikesUntold {
			q.strikes = append(q.strikes, strike)
		}
	}
	m.wakeAll()
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
	m.direct[s.ID] = true
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
	m.direct[id] = true
	change := m.roster.Change()
	m.wakeAll()
	m.noteProgress()
	m.mu.Unlock()
	m.log.Info("backend server left", zap.String("server", id))
	return m.confirm(ctx, change)
}

// wakeAll tells everyone at once. The caller holds mu.
func (m *Mesh) wakeAll() {
	for _, q := range m.peers {
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
		if q.process.Started != 0 && now.Sub(q.heard) < heardAge && q.confirmed < change {
			missing++
		}
	}
	return missing
}
