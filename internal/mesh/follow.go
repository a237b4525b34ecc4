package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/backoff"
	"github.com/rosemarypass/rosemarypass/coord/overlay"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

const (
	// pullWait is how long a pull waits for a newer configuration.
	pullWait = 700 * time.Millisecond
	// pullTimeout leaves additional time for the answer to begin after pullWait. A large
	// configuration may then arrive for longer, up to maxPullTime.
	pullTimeout = pullWait + 500*time.Millisecond
	maxPullTime = 30 * time.Second
)

var (
	// pullBackoff paces pulls after a failure, or when the source is behind others.
	pullBackoff = backoff.Options{Initial: 100 * time.Millisecond, Max: time.Second}
	// firstConfigBackoff paces pulls from processes that hold no configuration either:
	// processes that restarted together ask each other.
	firstConfigBackoff = backoff.Options{Initial: 30 * time.Millisecond, Max: time.Second}
)

func (m *Mesh) handlePull(ctx context.Context, in pullRequest) (pullReply, error) {
	deadline := time.NewTimer(time.Duration(in.WaitMillis) * time.Millisecond)
	defer deadline.Stop()
	for waiting := true; waiting; {
		changed := m.documents.Changed()
		if m.documents.Current().State.Index > in.Index {
			break
		}
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-ctx.Done():
			return pullReply{}, ctx.Err()
		}
	}
	state := m.documents.Current().State
	reply := pullReply{}
	if state.Index > in.Index {
		reply = m.pullReplyTo(in, state)
	}
	reply.Digest, reply.Newest = m.knownDigest(), m.newestIndex()
	if reply.Digest != in.Digest {
		reply.Known, reply.Cursor = m.knownSince(in.Cursor)
	} else {
		reply.Cursor = in.Cursor
	}
	return reply, nil
}

// newPullRequest returns a request for a state newer than the held one.
func (m *Mesh) newPullRequest() pullRequest {
	held := m.documents.Current()
	return pullRequest{From: m.Self(), Index: held.State.Index, Version: held.State.Version, Holds: held.Table != nil, Unpacks: true}
}

// follow keeps the configuration up to date where there is no log: it follows one entry
// at a time and switches to another as soon as one fails to answer.
func (m *Mesh) follow(ctx context.Context) {
	var failures backoff.Outage
	for ctx.Err() == nil {
		address, held := m.pickSource(), m.documents.Current().State.Index
		if address != "" && m.followEntry(ctx, address, func() bool { return true }) || m.documents.Current().State.Index > held {
			failures.Succeeded()
		}
		retry := pullBackoff
		if m.needsFirstConfig() {
			retry = firstConfigBackoff
		}
		_ = wait.For(ctx, retry.Pause(failures.Failed(time.Now()), 0, rand.Float64()))
	}
}

// needsFirstConfig reports whether this process restarted and holds no configuration yet.
// Another process has one on its disk. A pull that waits at a process without one would
// keep callers waiting just as long.
func (m *Mesh) needsFirstConfig() bool {
	return !m.options.Bootstrap && m.documents.Current().State.Index == 0
}

// followEntry follows one entry until it fails, lags behind, or keepGoing returns false.
// It reports whether the entry delivered at least one current answer.
func (m *Mesh) followEntry(ctx context.Context, address string, keepGoing func() bool) (progressed bool) {
	client := rpc.NewClient(address)
	defer client.Close()
	var digest uint64
	var cursor listCursor
	listedAt := time.Now()
	for ctx.Err() == nil && keepGoing() {
		if time.Since(listedAt) > relistInterval {
			digest, cursor, listedAt = 0, listCursor{}, time.Now()
		}
		waitTime := pullWait
		if m.needsFirstConfig() {
			waitTime = 0
		}
		callCtx, cancel := context.WithTimeout(ctx, maxPullTime)
		var reply pullReply
		request := m.newPullRequest()
		request.Digest, request.Cursor, request.WaitMillis = digest, cursor, waitTime.Milliseconds()
		err := client.CallReceiving(callCtx, pullTimeout, methodPull, request, &reply)
		cancel()
		if err != nil {
			return progressed
		}
		if err := m.applyReply(&reply, originPull+address); err != nil {
			m.log.Warn("a pulled configuration cannot be read", zap.String("source", address), telemetry.Cause(err))
			return progressed
		}
		digest, cursor = reply.Digest, reply.Cursor
		now := time.Now()
		m.mu.Lock()
		for _, p := range reply.Known {
			m.updateIndirect(p, now)
		}
		m.mu.Unlock()
		if reply.Newest > m.documents.Current().State.Index || m.behind() || m.needsFirstConfig() {
			return progressed
		}
		progressed = true
	}
	return progressed
}

// newestIndex returns the highest configuration index that is known of any process.
func (m *Mesh) newestIndex() uint64 {
	newest := m.documents.Current().State.Index
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, q := range m.peers {
		newest = max(newest, q.process.Index)
	}
	return newest
}

// behind reports whether a peer is known to hold a newer configuration: the source may be
// cut off from the log without knowing it.
func (m *Mesh) behind() bool {
	return m.newestIndex() > m.documents.Current().State.Index
}

// pickSource chooses the process to pull from: a random one of those that hold the newest
// configuration, preferably in the local data centre. In a small deployment processes
// with a disk are preferred, since they receive changes sooner; in a large one pulls must
// not load the members of the log, which would delay their traffic with each other.
func (m *Mesh) pickSource() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	small := len(m.peers) < overlay.MaxHubs
	best, bestScore := "", -1.0
	now := time.Now()
	for address, q := range m.peers {
		score := rand.Float64()
		if q.process.Disk && small {
			score++
		}
		if q.process.DataCentre == m.options.Self.DataCentre {
			score++
		}
		if now.Sub(q.lastHeard) < reachableTimeout {
			score += 2
		}
		if q.process.Index > m.documents.Current().State.Index {
			score += 4
		}
		if score > bestScore {
			best, bestScore = address, score
		}
	}
	return best
}
