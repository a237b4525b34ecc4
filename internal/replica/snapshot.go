package replica

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var sentParts = telemetry.Counter("replica_snapshot_parts_sent")

const (
	// partTimeout limits the duration of the call that sends one part.
	partTimeout = 10 * time.Second
	// maxSnapshotBytes limits the size of a snapshot that a receiver assembles.
	maxSnapshotBytes = 1 << 30
	// resendInterval is the minimum time before the same snapshot is sent again. The
	// core requests it repeatedly while a slow transfer is still in progress.
	resendInterval = 10 * time.Second
)

// snapshotSender sends the snapshots of one queue in parts.
type snapshotSender struct {
	peers  *peers
	client *rpc.Client
	to     replog.ID
	index  uint64
	sentAt time.Time
}

func (s *snapshotSender) send(m replog.Message) error {
	if s.to == m.To && s.index == m.Snapshot.Index && time.Since(s.sentAt) < resendInterval {
		return nil
	}
	data := m.Snapshot.Data
	meta := *m.Snapshot
	meta.Data = nil
	m.Snapshot = &meta
	for offset := 0; offset == 0 || offset < len(data); offset += s.peers.partBytes {
		part := wire.SnapshotPart{
			Cluster: *s.peers.cluster.Load(), Address: s.peers.address, Message: m,
			Offset: offset, Total: len(data), Data: data[offset:min(offset+s.peers.partBytes, len(data))],
		}
		if err := s.call(part); err != nil {
			return err
		}
	}
	s.to, s.index, s.sentAt = m.To, m.Snapshot.Index, time.Now()
	return nil
}

func (s *snapshotSender) call(part wire.SnapshotPart) error {
	ctx, cancel := context.WithTimeout(s.peers.ctx, partTimeout)
	defer cancel()
	sentCalls.Add(1)
	sentParts.Add(1)
	return s.client.Call(ctx, wire.MethodReplicaSnapshot, part, &wire.Empty{})
}

// snapshotAssembler assembles one snapshot from its parts. The first part of another
// snapshot discards the incomplete one.
type snapshotAssembler struct {
	mu    sync.Mutex
	from  replog.ID
	term  uint64
	index uint64
	data  []byte
}

// add adds a part. It returns the message once its snapshot is complete, and nil
// before.
func (a *snapshotAssembler) add(part wire.SnapshotPart) (*replog.Message, error) {
	m := part.Message
	if m.Snapshot == nil || part.Total > maxSnapshotBytes || part.Offset+len(part.Data) > part.Total {
		return nil, errors.New("not a part of a snapshot")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if part.Offset == 0 {
		a.from, a.term, a.index, a.data = m.From, m.Term, m.Snapshot.Index, nil
	}
	if a.from != m.From || a.term != m.Term || a.index != m.Snapshot.Index || part.Offset != len(a.data) {
		return nil, errors.New("a part before this one is missing")
	}
	a.data = append(a.data, part.Data...)
	if len(a.data) < part.Total {
		return nil, nil
	}
	complete := *m.Snapshot
	complete.Data, a.data = a.data, nil
	m.Snapshot = &complete
	return &m, nil
}
