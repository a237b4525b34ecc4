package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

const (
	// pullWait is how long a pull waits for something newer.
	pullWait = 700 * time.Millisecond
	// pullTimeout leaves the answer some time behind pullWait.
	pullTimeout = pullWait + 500*time.Millisecond
	// pullPause follows a pull that failed.
	pullPause = 100 * time.Millisecond
	// seekPause follows a pull from one that holds nothing either.
	seekPause = 30 * time.Millisecond
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
		reply.Known = m.Known()
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
	for ctx.Err() == nil {
		address := m.source()
		if address == "" {
			_ = wait.For(ctx, pullPause)
			continue
		}
		m.followOne(ctx, address, func() bool { return true })
		if m.seeks() {
			_ = wait.For(ctx, seekPause)
			continue
		}
		_ = wait.For(ctx, pullPause)
	}
}

// seeks is true for a process that restarted and holds no configuration yet. Some
// other one has it on its disk: to wait at one that has none would keep callers
// waiting for as long.
func (m *Mesh) seeks() bool {
	return !m.options.Bootstrap && m.documents.Current().State.Index == 0
}

// followOne follows one entry until it fails, lags, or wanted is false.
func (m *Mesh) followOne(ctx context.Context, address string, wanted func() bool) {
	client := rpc.NewClient(address)
	defer client.Close()
	var told uint64
	listed := time.Now()
	for ctx.Err() == nil && wanted() {
		if time.Since(listed) > relistInterval {
			told, listed = 0, time.Now()
		}
		patience := pullWait
		if m.seeks() {
			patience = 0
		}
		call, cancel := context.WithTimeout(ctx, pullTimeout)
		var reply pullReply
		request := m.request()
		request.Digest, request.WaitMillis = told, patience.Milliseconds()
		err := client.Call(call, methodPull, request, &reply)
		cancel()
		if err != nil {
			return
		}
		if reply.Newer {
			m.takePulled(reply.State, originPull+address)
		}
		told = reply.Digest
		now := time.Now()
		m.mu.Lock()
		for _, p := range reply.Known {
			m.remember(p, now)
		}
		m.mu.Unlock()
		if reply.Newest > m.documents.Current().State.Index || m.behind() || m.seeks() {
			return
		}
	}
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

// source picks whom to ask: of those that hold the newest any, with a log and
// in the own data centre rather.
func (m *Mesh) source() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	best, bestScore := "", -1.0
	now := time.Now()
	for address, q := range m.peers {
		score := rand.Float64()
		if q.process.Disk {
			score += 1
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
