package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	sentCalls    = telemetry.Counter("replica_calls_sent")
	failedCalls  = telemetry.Counter("replica_calls_failed")
	sentMessages = telemetry.Counter("replica_messages_sent")
)

const (
	// laneSize bounds the messages that wait for a peer; when full, new ones
	// are dropped, and the core sends again what matters.
	laneSize = 256
	// envelopeMessages and envelopeBytes bound one call. Its encoding takes several times
	// its size at both ends, and a peer that was away gets all that it missed at once.
	envelopeMessages = 64
	envelopeBytes    = 256 << 10
	// maxLearnt bounds the senders that are remembered beside the configuration.
	maxLearnt = 64
	// callTimeout bounds one call; a peer that is cut off silently costs no more.
	callTimeout = 2 * time.Second
	// retryPause follows a failed call, so that a peer that is down is not
	// dialled in a tight loop.
	retryPause = 50 * time.Millisecond
)

// peers sends messages, by two lanes to each address.
type peers struct {
	address string
	options []rpc.ClientOption
	// partBytes is the size of a part of a snapshot.
	partBytes int
	cluster   atomic.Pointer[string]
	stop      context.CancelFunc
	ctx       context.Context
	duties    sync.WaitGroup

	mu        sync.Mutex
	addresses map[replog.ID]string
	lanes     map[laneKey]chan replog.Message
}

type laneKey struct {
	address string
	bulk    bool
}

func newPeers(options Options) *peers {
	ctx, cancel := context.WithCancel(context.Background())
	p := &peers{
		address: options.Address, options: options.RPC, partBytes: options.PartBytes, ctx: ctx, stop: cancel,
		addresses: make(map[replog.ID]string), lanes: make(map[laneKey]chan replog.Message),
	}
	p.cluster.Store(new(string))
	return p
}

// learn remembers where a member that may not be in the configuration is.
func (p *peers) learn(id replog.ID, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.addresses[id]; known || len(p.addresses) < maxLearnt {
		p.addresses[id] = address
	}
}

// send puts messages on their lanes. It never blocks.
func (p *peers) send(config replog.Config, messages []replog.Message) {
	if len(messages) == 0 {
		return
	}
	p.cluster.Store(&config.Cluster)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range messages {
		address := p.addressOf(config, m.To)
		if address == "" {
			continue
		}
		select {
		case p.lane(laneKey{address: address, bulk: isBulk(m)}) <- m:
		default:
			droppedMessages.Add(1)
		}
	}
}

// isBulk tells appends with entries and snapshots from all that must not wait.
func isBulk(m replog.Message) bool {
	return m.Kind == replog.KindSnapshot || m.Kind == replog.KindAppend
}

func (p *peers) addressOf(config replog.Config, id replog.ID) string {
	for _, m := range config.Members() {
		if m.ID == id {
			return m.Address
		}
	}
	return p.addresses[id]
}

// lane returns a lane, which begins to work when it is first used. The caller
// holds mu.
func (p *peers) lane(key laneKey) chan<- replog.Message {
	if lane, ok := p.lanes[key]; ok {
		return lane
	}
	lane := make(chan replog.Message, laneSize)
	p.lanes[key] = lane
	p.duties.Go(func() { p.runLane(key.address, lane) })
	return lane
}

func (p *peers) runLane(address string, lane <-chan replog.Message) {
	client := rpc.NewClient(address, p.options...)
	defer client.Close()
	snapshots := snapshotSender{peers: p, client: client}
	for {
		select {
		case <-p.ctx.Done():
			return
		case first := <-lane:
			messages, snapshot := collect(first, lane)
			err := p.call(client, messages)
			if err == nil && snapshot != nil {
				err = snapshots.send(*snapshot)
			}
			if err != nil {
				failedCalls.Add(1)
				_ = wait.For(p.ctx, retryPause)
			}
		}
	}
}

// collect takes messages that share a call, up to a snapshot, which goes alone.
func collect(first replog.Message, lane <-chan replog.Message) (messages []replog.Message, snapshot *replog.Message) {
	size := 0
	for m := first; ; {
		if m.Kind == replog.KindSnapshot {
			return messages, &m
		}
		messages = append(messages, m)
		for _, e := range m.Entries {
			size += len(e.Data)
		}
		if len(messages) >= envelopeMessages || size >= envelopeBytes {
			return messages, nil
		}
		select {
		case m = <-lane:
		default:
			return messages, nil
		}
	}
}

func (p *peers) call(client *rpc.Client, messages []replog.Message) error {
	if len(messages) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	sentCalls.Add(1)
	sentMessages.Add(int64(len(messages)))
	envelope := wire.Envelope{Cluster: *p.cluster.Load(), Address: p.address, Messages: messages}
	return client.Call(ctx, wire.MethodReplicaMessages, envelope, &wire.Empty{})
}

func (p *peers) close() {
	p.stop()
	p.duties.Wait()
}
