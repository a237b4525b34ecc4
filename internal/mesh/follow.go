package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/backoff"
	"github.com/rosemarypass/rosemarypass/coord/overlay"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

const (
	// pullWait is how long a pull waits for something newer.
	pullWait = 700 * time.Millisecond
	// pullTimeout leaves the answer some time behind pullWait.
	pullTimeout = pullWait + 500*time.Millisecond
)

var (
	// pullTries follow pulls that failed, or found their source behind others.
	pullTries = backoff.Options{First: 100 * time.Millisecond, Most: time.Second}
	// seekTries follow pulls from those that hold nothing either: processes that
	// restarted together ask each other.
	seekTries = backoff.Options{First: 30 * time.Millisecond, Most: time.Second}
)

func (m *Mesh) takePull(ctx context.Context, in pullRequest) (pullReply, error) {
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
		reply = answerState(in, state)
	}
	reply.Digest, reply.Newest = m.knownDigest(), m.newest()
	if reply.Digest != in.Digest {
		reply.Known, reply.Heard = m.knownSince(in.Heard)
	} else {
		reply.Heard = in.Heard
	}
	return reply, nil
}

// request asks for what is newer than what is held.
func (m *Mesh) request() pullRequest {
	held := m.documents.Current()
	return pullRequest{From: m.Self(), Index: held.State.Index, Version: held.State.Version, Holds: held.Table != nil}
}

// follow keeps the configuration up to date where there is no log: it asks one
// entry after the other, and another one as soon as one does not answer.
func (m *Mesh) follow(ctx context.Context) {
	var trouble backoff.Trouble
	for ctx.Err() == nil {
		address, held := m.source(), m.documents.Current().State.Index
		if address != "" && m.followOne(ctx, address, func() bool { return true }) || m.documents.Current().State.Index > held {
			trouble.Over()
		}
		tries := pullTries
		if m.seeks() {
			tries = seekTries
		}
		_ = wait.For(ctx, tries.Pause(trouble.Failed(time.Now()), 0, rand.Float64()))
	}
}

// seeks is true for a process that restarted and holds no configuration yet. Some
// other one has it on its disk: to wait at one that has none would keep callers
// waiting for as long.
func (m *Mesh) seeks() bool {
	return !m.options.Bootstrap && m.documents.Current().State.Index == 0
}

// followOne follows one entry until it fails, lags, or wanted is false, and reports
// whether it was of use before.
func (m *Mesh) followOne(ctx context.Context, address string, wanted func() bool) (useful bool) {
	client := rpc.NewClient(address)
	defer client.Close()
	var told uint64
	var heard heardList
	listed := time.Now()
	for ctx.Err() == nil && wanted() {
		if time.Since(listed) > relistInterval {
			told, heard, listed = 0, heardList{}, time.Now()
		}
		patience := pullWait
		if m.seeks() {
			patience = 0
		}
		call, cancel := context.WithTimeout(ctx, pullTimeout)
		var reply pullReply
		request := m.request()
		request.Digest, request.Heard, request.WaitMillis = told, heard, patience.Milliseconds()
		err := client.Call(call, methodPull, request, &reply)
		cancel()
		if err != nil {
			return useful
		}
		if reply.Newer {
			m.takePulled(reply.State, originPull+address)
		}
		told, heard = reply.Digest, reply.Heard
		now := time.Now()
		m.mu.Lock()
		for _, p := range reply.Known {
			m.remember(p, now)
		}
		m.mu.Unlock()
		if reply.Newest > m.documents.Current().State.Index || m.behind() || m.seeks() {
			return useful
		}
		useful = true
	}
	return useful
}

// newest is the highest index of a configuration that was heard of.
func (m *Mesh) newest() uint64 {
	newest := m.documents.Current().State.Index
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, q := range m.peers {
		newest = max(newest, q.process.Index)
	}
	return newest
}

// behind is true when some peer is known to hold something newer: the source
// may be cut off from the log without knowing.
func (m *Mesh) behind() bool {
	return m.newest() > m.documents.Current().State.Index
}

// source picks whom to ask: of those that hold the newest any, in the own data
// centre rather. A few processes rather ask those with a log, which know sooner; the
// members of a large fleet must have time for each other.
func (m *Mesh) source() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	few := len(m.peers) < overlay.MostHubs
	best, bestScore := "", -1.0
	now := time.Now()
	for address, q := range m.peers {
		score := rand.Float64()
		if q.process.Disk && few {
			score++
		}
		if q.process.DataCentre == m.options.Self.DataCentre {
			score++
		}
		if now.Sub(q.heard) < heardAge {
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
