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
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// peer is another entry.
type peer struct {
	mesh *Mesh
	// syncClient carries greetings and callClient all other calls: a large answer or one
	// that waits must not delay the next greeting.
	syncClient *rpc.Client
	callClient *rpc.Client
	wakeup     chan struct{}
	firstSeen  time.Time

	// The fields below are guarded by mesh.mu.
	process Process
	// linked is true when this process greets the peer. lastGreeting is when the peer
	// last greeted this process, and inSync is true when both then knew the same
	// processes.
	linked       bool
	lastGreeting time.Time
	inSync       bool
	// spoke is true when the peer hears only what the hubs that it greets forward. The
	// peer reports this itself: both sides may briefly know different processes and
	// disagree on which are hubs.
	spoke bool
	// lastHeard is when this process last heard the peer, lastHeardAny when any process
	// did.
	lastHeard    time.Time
	lastHeardAny time.Time
	// lastFailure is when the peer last failed to answer; zero after a success.
	lastFailure time.Time
	lost        bool
	// changeSeq is the value of Mesh.changes at the last change to this peer.
	changeSeq uint64
	// listReceived is when the peer last sent its full process list, listSent is when it
	// was last sent the full list, and cursor is the position up to which the peer's own
	// list has been received.
	listReceived time.Time
	listSent     time.Time
	cursor       listCursor
	// acked is the roster change up to which the peer is up to date.
	acked uint64
	// missing lists servers of which the peer has received only a heartbeat.
	missing []string
	// asked is true once the peer was asked for its strikes, whether it answered or not.
	asked bool
	// ackedStrikes is the change of the strikes up to which the peer has received them.
	// knowsStrikes is false until it has received all of them once, those included that
	// other hubs send to the hubs that are there.
	ackedStrikes uint64
	knowsStrikes bool
	// ackedVersions is the change of the software versions up to which the peer has received them.
	ackedVersions uint64
	// ackedRates is the change of the servers' rates up to which the peer has received them.
	ackedRates uint64
}

// via is how a server was heard of. It decides which peers receive its heartbeat.
type via uint8

const (
	// viaDirect means from the server itself, or from a peer that depends on this process
	// as its hub: all peers must receive the heartbeat.
	viaDirect via = iota
	// viaHub means from a hub, which sends the heartbeat to the other hubs itself: only
	// the spokes of this process must receive it.
	viaHub
)

// active reports whether updates must be sent to the peer: one of the two greets the
// other. The caller holds mu.
func (q *peer) active(now time.Time) bool {
	return q.linked || now.Sub(q.lastGreeting) < reachableTimeout
}

// isLost reports whether the peer has recently failed to answer and has not been heard
// since. The caller holds mu.
func (q *peer) isLost(now time.Time) bool {
	return !q.lastFailure.IsZero() && now.Sub(q.lastFailure) < lostTimeout && now.Sub(q.lastHeard) > reachableTimeout
}

// run greets the peer while it is active, and idles until woken otherwise.
func (q *peer) run(ctx context.Context) {
	defer q.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var failures backoff.Outage
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wakeup:
		case <-timer.C:
		}
		updates, action := q.next(time.Now())
		switch action {
		case actionStop:
			return
		case actionIdle:
			continue
		case actionSkip:
			timer.Reset(syncInterval)
			continue
		}
		pause := syncInterval
		if err := q.greet(ctx, updates, backoff.Timeout(syncTimeout, maxSyncTimeout, failures.Elapsed(time.Now()))); err != nil {
			pause = greetingBackoff.Pause(failures.Failed(time.Now()), 0, rand.Float64())
		} else {
			failures.Succeeded()
			if updates.more {
				q.wake()
			}
		}
		timer.Reset(pause)
	}
}

// syncAction is the decision of peer.next.
type syncAction uint8

const (
	actionGreet syncAction = iota
	// actionSkip skips one greeting: the peer has just greeted this process, and there
	// are no updates.
	actionSkip
	actionIdle
	actionStop
)

// next decides whether to greet now, and returns the updates to send.
func (q *peer) next(now time.Time) (pending, syncAction) {
	m := q.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[q.process.Address] != q {
		return pending{}, actionStop
	}
	if !q.active(now) {
		return pending{}, actionIdle
	}
	updates := q.pendingUpdates(now)
	if !updates.empty() {
		return updates, actionGreet
	}
	q.acked, q.ackedStrikes, q.knowsStrikes, q.ackedVersions, q.ackedRates = updates.change, updates.strikeChange, true, updates.versionChange, updates.rateChange
	// A spoke must greet its hub itself, to report that it depends on it.
	if !q.linked || q.inSync && !m.spoke && now.Sub(q.lastGreeting) < syncInterval && !updates.relist {
		return pending{}, actionSkip
	}
	return updates, actionGreet
}

// greet sends the pending updates to the peer and processes its reply.
func (q *peer) greet(ctx context.Context, sent pending, timeout time.Duration) error {
	sent.From, sent.Digest, sent.Uninformed = q.mesh.Self(), q.mesh.knownDigest(), q.mesh.isUninformed()
	if sent.relist {
		sent.Digest = 0
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply greetingReply
	if err := q.syncClient.Call(ctx, methodSync, sent.greeting, &reply); err != nil {
		q.recordFailure(err)
		return err
	}
	now := time.Now()
	q.mesh.updateDirect(reply.From, now)
	q.mesh.mu.Lock()
	// An incarnation that has started in the meantime lacks what the earlier one had received.
	if q.process.Started == sent.to {
		q.acked = max(q.acked, sent.change)
		q.ackedStrikes = max(q.ackedStrikes, sent.strikeChange)
		q.ackedVersions = max(q.ackedVersions, sent.versionChange)
		q.ackedRates = max(q.ackedRates, sent.rateChange)
		q.knowsStrikes = q.knowsStrikes || !sent.more
	}
	q.missing, q.cursor = reply.Missing, reply.Cursor
	recovered := q.lost
	q.lost, q.lastFailure = false, time.Time{}
	if sent.relist {
		q.listReceived = now
	}
	for _, p := range reply.Known {
		q.mesh.updateIndirect(p, now)
	}
	if sent.Uninformed {
		q.mesh.streams.mergeVersions(reply.Versions, reply.VersionsComplete, now)
		q.takeStrikes(&reply, now)
		q.mesh.mergeRates(q, true, reply.Rates, now)
	}
	q.mesh.notifyProgress()
	q.mesh.mu.Unlock()
	if recovered {
		q.mesh.log.Info("entry reached again", zap.String("peer", reply.From.Name))
	}
	return nil
}

func (q *peer) recordFailure(err error) {
	now := time.Now()
	q.mesh.mu.Lock()
	if q.lastFailure.IsZero() || !q.isLost(now) {
		q.mesh.relink = true
	}
	q.lastFailure = now
	lost := !q.lost && !q.lastHeard.IsZero() && now.Sub(q.lastHeard) > reachableTimeout
	if lost {
		q.lost = true
		q.resendAll()
		q.mesh.streams.processEnded(q.lastHeard)
	}
	if !q.asked && !q.mesh.Informed() {
		q.asked = true
		q.mesh.checkInformed()
	}
	name := q.process.Name
	q.mesh.mu.Unlock()
	if lost {
		q.mesh.log.Warn("entry not reached any more", zap.String("peer", name), telemetry.Cause(err))
	}
}

// resendAll makes the next greetings carry all servers, strikes, versions and rates: the peer has missed
// updates, or has forgotten them over a restart. The caller holds mu.
func (q *peer) resendAll() {
	q.acked, q.ackedStrikes, q.knowsStrikes, q.ackedVersions, q.ackedRates = 0, 0, false, 0, 0
}

// wake makes the peer's task check immediately for updates.
func (q *peer) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// errGreetingInProgress means that a greeting arrived while an earlier one from the same
// process was still being handled. The sender has given up on the earlier one.
var errGreetingInProgress = errors.New("an earlier greeting of this process is still being taken")

func (m *Mesh) handleSync(_ context.Context, in greeting) (greetingReply, error) {
	if _, busy := m.syncing.LoadOrStore(in.From.Address, true); busy {
		return greetingReply{}, errGreetingInProgress
	}
	defer m.syncing.Delete(in.From.Address)
	now := time.Now()
	m.updateDirect(in.From, now)
	digest := m.knownDigest()
	m.mu.Lock()
	from := m.peers[in.From.Address]
	reply := greetingReply{Missing: m.mergeServers(from, in, now)}
	m.streams.mergeVersions(in.Versions, false, now)
	m.mergeRates(from, !in.Spoke, in.Rates, now)
	m.mergeStrikes(from, !in.Spoke, slices.Concat(in.Strikes, in.Answers, in.Doubts), now)
	if in.Uninformed {
		reply.Informed = m.Informed()
		reply.Strikes = m.allStrikes(now)
		reply.Versions, reply.VersionsComplete = m.streams.seen.List(now), m.streams.isComplete(now)
		reply.Rates = m.rates.Since(0, true, now)
	}
	if from != nil {
		wasActive := from.active(now)
		from.lastGreeting, from.inSync, from.spoke = now, in.Digest == digest, in.Spoke
		if !wasActive {
			from.wake()
		}
	}
	sendAll := in.Digest == 0 || from == nil || now.Sub(from.listSent) >= time.Duration(len(m.peers))*fullListInterval
	if digest != in.Digest && sendAll && from != nil {
		from.listSent = now
	}
	m.mu.Unlock()
	reply.From = m.Self()
	switch {
	case digest == in.Digest:
		_, reply.Cursor = m.knownSince(in.Cursor)
	case sendAll:
		reply.Known, reply.Cursor = m.knownSince(listCursor{})
	default:
		reply.Known, reply.Cursor = m.knownSince(in.Cursor)
	}
	return reply, nil
}

// mergeServers merges the servers of a greeting into the roster and wakes the peers that
// depend on this process to forward the changes. It returns the servers of which only a
// heartbeat is known. The caller holds mu.
func (m *Mesh) mergeServers(from *peer, in greeting, now time.Time) (missing []string) {
	path := viaHub
	if in.Spoke {
		path = viaDirect
	}
	anyMaterial := false
	for _, s := range in.Servers {
		isNew, material := m.roster.Apply(s, now)
		if isNew {
			m.streams.heardVersion(&s, now)
			m.heardVia[s.ID] = path
			delete(m.diskOnly, s.ID)
		}
		anyMaterial = anyMaterial || material
	}
	for _, b := range in.Beats {
		before, _ := m.roster.Get(b.ID)
		if m.roster.ApplyHeartbeat(b, now) {
			missing = append(missing, b.ID)
			continue
		}
		if b.Sequence > before.Sequence {
			m.streams.heardVersion(&before.Server, now)
			m.heardVia[b.ID] = path
			delete(m.diskOnly, b.ID)
		}
	}
	if len(in.Servers) > 0 {
		m.notifyProgress()
	}
	if anyMaterial {
		for _, q := range m.relayTargets(from, !in.Spoke, now) {
			q.wake()
		}
	}
	return missing
}

// relayTargets lists the peers to which an update from a peer must be forwarded: the
// spokes of this process and, unless it came from a hub, all others. The caller holds mu.
func (m *Mesh) relayTargets(from *peer, fromHub bool, now time.Time) []*peer {
	var others []*peer
	for _, q := range m.peers {
		if q != from && q.active(now) && (!fromHub || q.spoke) {
			others = append(others, q)
		}
	}
	return others
}

// Announce records an announcement of a backend server. For a server that leaves it
// returns as confirmDeparture does.
func (m *Mesh) Announce(ctx context.Context, s roster.Server) error {
	if !m.Connected() {
		return ErrPartitioned
	}
	if err := m.persistVersion(ctx, &s); err != nil {
		return err
	}
	now := time.Now()
	m.mu.Lock()
	newest, material := m.roster.Apply(s, now)
	if newest {
		m.streams.heardVersion(&s, now)
	}
	m.heardVia[s.ID] = viaDirect
	delete(m.diskOnly, s.ID)
	m.heard(s.ID, now)
	if material {
		m.wakeAll()
		m.notifyProgress()
	}
	m.mu.Unlock()
	if material {
		m.log.Info("backend server announced", zap.String("server", s.ID), zap.String("service", s.Service), zap.String("address", s.Address),
			zap.String("version", s.Version), zap.Bool("leaving", s.Leaving), zap.Int64("born", s.Born), zap.Int64("sequence", s.Sequence))
	}
	if !s.Leaving {
		return nil
	}
	return m.confirmDeparture(ctx, s.ID)
}

// wakeAll wakes all active peers. The caller holds mu.
func (m *Mesh) wakeAll() {
	for _, q := range m.relayTargets(nil, false, time.Now()) {
		q.wake()
	}
}
