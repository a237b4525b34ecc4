package mesh

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarypass/rosemarypass/coord/overlay"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
)

// addPeer adds a process to the known peers.
func (m *Mesh) addPeer(p Process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addPeerLocked(p, time.Now())
}

func (m *Mesh) addPeerLocked(p Process, now time.Time) *peer {
	if known := m.peers[p.Address]; known != nil {
		return known
	}
	silent := time.Duration(p.SilentMillis) * time.Millisecond
	if p.Address == m.options.Self.Address || !p.Entry || silent > forgetTimeout || m.ctx == nil || m.ctx.Err() != nil {
		return nil
	}
	p.SilentMillis = 0
	q := &peer{mesh: m, process: p, firstSeen: now, lastHeardAny: now.Add(-silent), wakeup: make(chan struct{}, 1), syncClient: rpc.NewClient(p.Address), callClient: rpc.NewClient(p.Address)}
	m.peers[p.Address] = q
	m.digest += p.digest()
	m.recordChange(q)
	m.relink = true
	// Until the process has described itself, it is unknown whether it should be greeted.
	// One that has just started asks all for their strikes.
	q.linked = p.Started == 0 || !m.Informed()
	if m.options.Self.Entry {
		ctx := m.ctx
		m.tasks.Go(func() { q.run(ctx) })
	}
	return q
}

// updateDirect records the description that a process reports of itself.
func (m *Mesh) updateDirect(p Process, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if q := m.addPeerLocked(p, now); q != nil {
		peerHeard.Reach()
		if q.process.Started != p.Started {
			q.resendAll()
		}
		m.setProcess(q, p)
		q.lastHeard, q.lastHeardAny = now, now
	}
	m.notifyProgress()
}

// updateIndirect records the description that a process reports of another one. A recent
// direct report takes precedence.
func (m *Mesh) updateIndirect(p Process, now time.Time) {
	q := m.addPeerLocked(p, now)
	lastHeard := now.Add(-time.Duration(p.SilentMillis) * time.Millisecond)
	if q == nil || p.Started == 0 || now.Sub(q.lastHeard) < reachableTimeout || !lastHeard.After(q.lastHeardAny) {
		return
	}
	m.setProcess(q, p)
	q.lastHeardAny = lastHeard
}

// setProcess replaces the description of a peer. The caller holds mu.
func (m *Mesh) setProcess(q *peer, p Process) {
	p.SilentMillis = 0
	if q.process.Started != 0 && q.process.Started != p.Started {
		m.streams.processEnded(q.lastHeardAny)
	}
	before, after := q.process.digest(), p.digest()
	q.process = p
	if before != after {
		m.digest += after - before
		m.relink = true
		m.recordChange(q)
	}
}

// recordChange counts a change to the description of a peer. The caller holds mu.
func (m *Mesh) recordChange(q *peer) {
	m.changes++
	q.changeSeq = m.changes
}

// digest hashes the fields of a process that other processes must know. The index of its
// configuration is excluded and only reported by the process itself: otherwise each
// configuration change would change all digests.
func (p *Process) digest() uint64 {
	text := fmt.Sprintf("%s %d %s %s %t", p.Address, p.Started, p.Member, p.Cluster, p.Leads)
	if len(p.OnlyVersions) > 0 {
		text += fmt.Sprint(p.OnlyVersions)
	}
	return xxhash.Sum64String(text)
}

// knownDigest returns a digest of all known processes. It is equal on processes that know
// the same ones.
func (m *Mesh) knownDigest() uint64 {
	self := m.Self()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.digest + self.digest()
}

// notifyProgress wakes the goroutines that wait for peers or servers. The caller holds
// mu.
func (m *Mesh) notifyProgress() {
	close(m.progress)
	m.progress = make(chan struct{})
}

// Known lists all known processes, including this one.
func (m *Mesh) Known() []Process {
	known, _ := m.knownSince(listCursor{})
	return known
}

// knownSince lists this process and the processes that have changed since the cursor, and
// returns the new cursor.
func (m *Mesh) knownSince(cursor listCursor) ([]Process, listCursor) {
	self := m.Self()
	known := []Process{self}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, q := range m.peers {
		if q.process.Started != 0 && (cursor.Incarnation != self.Started || q.changeSeq > cursor.Change) {
			p := q.process
			p.SilentMillis = now.Sub(q.lastHeardAny).Milliseconds()
			known = append(known, p)
		}
	}
	slices.SortFunc(known, func(a, b Process) int { return cmp.Compare(a.Address, b.Address) })
	return known, listCursor{Incarnation: self.Started, Change: m.changes}
}

// forgetSilent removes peers that no process has heard for long while others were heard.
// A process that is cut off from all others must find them again on its own, so it
// forgets none of them in the meantime. The caller holds mu.
func (m *Mesh) forgetSilent() {
	var newest time.Time
	for _, q := range m.peers {
		if q.lastHeardAny.After(newest) {
			newest = q.lastHeardAny
		}
	}
	for address, q := range m.peers {
		if newest.Sub(q.lastHeardAny) < forgetTimeout {
			continue
		}
		delete(m.peers, address)
		m.digest -= q.process.digest()
		m.relink = true
		// The task that greets the peer ends and closes its connections.
		q.wake()
	}
}

// close closes the connections to the peer.
func (q *peer) close() {
	q.syncClient.Close()
	q.callClient.Close()
}

// Call calls a method of another process.
func (m *Mesh) Call(ctx context.Context, address, method string, in, out any) error {
	return m.call(ctx, address, method, in, out)
}

// call calls a method of another process on the peer's connection for calls, or on a
// temporary one if it is unknown.
func (m *Mesh) call(ctx context.Context, address, method string, in, out any) error {
	m.mu.Lock()
	q := m.peers[address]
	m.mu.Unlock()
	if q != nil {
		return q.callClient.Call(ctx, method, in, out)
	}
	client := rpc.NewClient(address)
	defer client.Close()
	return client.Call(ctx, method, in, out)
}

// size returns the number of known processes, including this one. It scales the rate of
// requests that every process sends independently to the same few processes.
func (m *Mesh) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) + 1
}

// chooseLinks computes the set of peers that this process greets. The caller holds mu.
func (m *Mesh) chooseLinks(self Process, now time.Time) {
	own := self.digest()
	if !m.options.Self.Entry || !m.relink && own == m.linkedDigest && now.Sub(m.linkedAt) < lostTimeout {
		return
	}
	m.relink, m.linkedDigest, m.linkedAt = false, own, now
	founded := self.Cluster != ""
	others := make([]overlay.Node, 0, len(m.peers))
	for _, q := range m.peers {
		if q.process.Started != 0 {
			others = append(others, nodeOf(q.process, q.isLost(now)))
			founded = founded || q.process.Cluster != ""
		}
	}
	greeted := make(map[string]bool)
	addresses, hub := overlay.Greet(nodeOf(self, false), others)
	m.spoke = !hub
	for _, address := range addresses {
		greeted[address] = true
	}
	if !founded {
		// Until the log is founded, the seeds' lists must show every process before one
		// of them founds it.
		for _, seed := range m.options.Seeds {
			greeted[seed] = true
		}
	}
	for address, q := range m.peers {
		linked := greeted[address] || q.process.Started == 0 || !m.Informed()
		if linked && !q.linked {
			q.wake()
		}
		q.linked = linked
	}
}

func nodeOf(p Process, lost bool) overlay.Node {
	return overlay.Node{Address: p.Address, DataCentre: p.DataCentre, Disk: p.Disk, Member: p.Cluster != "", Lost: lost}
}

// countReached counts the greeted entries that are reachable, and those that should be.
func (m *Mesh) countReached(now time.Time) (reached, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, q := range m.peers {
		if !q.linked || q.process.Started == 0 || !q.process.Entry || now.Sub(q.lastHeard) > silentRetention {
			continue
		}
		known++
		if now.Sub(q.lastHeard) < reachableTimeout {
			reached++
		}
	}
	return reached, known
}

// Connected reports whether this process reaches at least half of the entries that it
// greets.
func (m *Mesh) Connected() bool {
	reached, known := m.countReached(time.Now())
	return 2*reached >= known
}
