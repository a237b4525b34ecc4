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

// meet begins to know a process.
func (m *Mesh) meet(p Process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meetLocked(p, time.Now())
}

func (m *Mesh) meetLocked(p Process, now time.Time) *peer {
	if known := m.peers[p.Address]; known != nil {
		return known
	}
	silent := time.Duration(p.SilentMillis) * time.Millisecond
	if p.Address == m.options.Self.Address || !p.Entry || silent > forgetAge || m.ctx == nil || m.ctx.Err() != nil {
		return nil
	}
	p.SilentMillis = 0
	q := &peer{mesh: m, process: p, met: now, word: now.Add(-silent), kick: make(chan struct{}, 1), client: rpc.NewClient(p.Address), questions: rpc.NewClient(p.Address)}
	m.peers[p.Address] = q
	m.digest += p.digest()
	m.noteChange(q)
	m.relink = true
	// Until it has described itself nobody can tell whether it is to be greeted.
	q.linked = p.Started == 0
	if m.options.Self.Entry {
		ctx := m.ctx
		m.duties.Go(func() { q.run(ctx) })
	}
	return q
}

// learn takes what a process says of itself.
func (m *Mesh) learn(p Process, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if q := m.meetLocked(p, now); q != nil {
		if q.process.Started != p.Started {
			q.confirmed = 0
		}
		m.describe(q, p)
		q.heard, q.word = now, now
	}
	m.noteProgress()
}

// remember takes what another process tells of one. Whoever is heard directly
// is believed rather.
func (m *Mesh) remember(p Process, now time.Time) {
	q := m.meetLocked(p, now)
	word := now.Add(-time.Duration(p.SilentMillis) * time.Millisecond)
	if q == nil || p.Started == 0 || now.Sub(q.heard) < heardAge || !word.After(q.word) {
		return
	}
	m.describe(q, p)
	q.word = word
}

// describe replaces what is known of a peer. The caller holds mu.
func (m *Mesh) describe(q *peer, p Process) {
	p.SilentMillis = 0
	before, after := q.process.digest(), p.digest()
	q.process = p
	if before != after {
		m.digest += after - before
		m.relink = true
		m.noteChange(q)
	}
}

// noteChange counts a change of what is known of a peer. The caller holds mu.
func (m *Mesh) noteChange(q *peer) {
	m.changes++
	q.change = m.changes
}

// digest stands for all that others must know of a process. The index of its
// configuration is told by itself only: it would change all digests with each
// change of the configuration.
func (p *Process) digest() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %d %s %s %t", p.Address, p.Started, p.Member, p.Cluster, p.Leads))
}

// knownDigest is the same wherever the same processes are known.
func (m *Mesh) knownDigest() uint64 {
	self := m.Self()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.digest + self.digest()
}

// noteProgress wakes those who wait for peers or servers. The caller holds mu.
func (m *Mesh) noteProgress() {
	close(m.progress)
	m.progress = make(chan struct{})
}

// Known lists all processes that were heard of, this one included.
func (m *Mesh) Known() []Process {
	known, _ := m.knownSince(heardList{})
	return known
}

// knownSince lists the processes of which more is known than somebody has heard from
// this one, and this one, and says up to where that is.
func (m *Mesh) knownSince(heard heardList) ([]Process, heardList) {
	self := m.Self()
	known := []Process{self}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, q := range m.peers {
		if q.process.Started != 0 && (heard.Of != self.Started || q.change > heard.Change) {
			p := q.process
			p.SilentMillis = now.Sub(q.word).Milliseconds()
			known = append(known, p)
		}
	}
	slices.SortFunc(known, func(a, b Process) int { return cmp.Compare(a.Address, b.Address) })
	return known, heardList{Of: self.Started, Change: m.changes}
}

// forgetSilent forgets those of whom nobody has heard for long while others were
// heard. A process that was cut off from all must find them again by itself, so
// that it forgets nobody meanwhile. The caller holds mu.
func (m *Mesh) forgetSilent() {
	var newest time.Time
	for _, q := range m.peers {
		if q.word.After(newest) {
			newest = q.word
		}
	}
	for address, q := range m.peers {
		if newest.Sub(q.word) < forgetAge {
			continue
		}
		delete(m.peers, address)
		m.digest -= q.process.digest()
		m.relink = true
		// The duty that greets it ends, and closes its connections.
		q.wake()
	}
}

// close closes the connections to a peer.
func (q *peer) close() {
	q.client.Close()
	q.questions.Close()
}

// ask calls a process on the connection that is kept for questions to it.
func (m *Mesh) ask(ctx context.Context, address, method string, in, out any) error {
	m.mu.Lock()
	q := m.peers[address]
	m.mu.Unlock()
	if q != nil {
		return q.questions.Call(ctx, method, in, out)
	}
	client := rpc.NewClient(address)
	defer client.Close()
	return client.Call(ctx, method, in, out)
}

// size is how many processes are known, this one included: what each does of its own
// accord at the same few others is divided among so many.
func (m *Mesh) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) + 1
}

// chooseLinks decides whom this process greets. The caller holds mu.
func (m *Mesh) chooseLinks(self Process, now time.Time) {
	own := self.digest()
	if !m.options.Self.Entry || !m.relink && own == m.linkedAs && now.Sub(m.linkedAt) < lostAge {
		return
	}
	m.relink, m.linkedAs, m.linkedAt = false, own, now
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
	m.relies = !hub
	for _, address := range addresses {
		greeted[address] = true
	}
	if !founded {
		// The seeds' lists must show every process before one of them founds.
		for _, seed := range m.options.Seeds {
			greeted[seed] = true
		}
	}
	for address, q := range m.peers {
		linked := greeted[address] || q.process.Started == 0
		if linked && !q.linked {
			q.wake()
		}
		q.linked = linked
	}
}

func nodeOf(p Process, lost bool) overlay.Node {
	return overlay.Node{Address: p.Address, DataCentre: p.DataCentre, Disk: p.Disk, Member: p.Cluster != "", Lost: lost}
}

// reached counts the greeted peers that were heard lately, and those that
// should be.
func (m *Mesh) reached(now time.Time) (reached, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, q := range m.peers {
		if !q.linked || q.process.Started == 0 || !q.process.Entry || now.Sub(q.heard) > silentAge {
			continue
		}
		known++
		if now.Sub(q.heard) < heardAge {
			reached++
		}
	}
	return reached, known
}

// Connected reports whether this process reaches half of those it greets.
func (m *Mesh) Connected() bool {
	reached, known := m.reached(time.Now())
	return 2*reached >= known
}
