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
	// queueSize limits the messages in one queue; when it is full, new ones are
	// dropped, and the core retransmits what is still needed.
	queueSize = 256
	// envelopeMessages and envelopeBytes limit the size of one call. Encoding takes several
	// times that size in memory on both sides, and a peer that was unreachable has a large
	// backlog to receive.
	envelopeMessages = 64
	envelopeBytes    = 256 << 10
	// maxLearned limits the sender addresses that are kept in addition to those in the
	// configuration.
	maxLearned = 64
	// callTimeout limits the duration of one call, also to a peer that is partitioned
	// without a connection error. Entries add to it their TransferTime: a large one would
	// else never arrive over a slow link.
	callTimeout = 2 * time.Second
	// transferRate is the rate, in bytes per second, at which a change crosses a slow link
	// that also carries callers' streams.
	transferRate = 500_000
	// retryDelay is the wait after a failed call, so that a peer that is down is not
	// dialled in a tight loop.
	retryDelay = 50 * time.Millisecond
)

// peers sends messages to the other members, through two queues per address.
type peers struct {
	address string
	options []rpc.ClientOption
	// partBytes is the size of one part of a snapshot.
	partBytes int
	cluster   atomic.Pointer[string]
	cancel    context.CancelFunc
	ctx       context.Context
	wg        sync.WaitGroup

	mu        sync.Mutex
	addresses map[replog.ID]string
	queues    map[queueKey]chan replog.Message
}

// queueKey identifies a queue; bulk selects the one for appends and snapshots.
type queueKey struct {
	address string
	bulk    bool
}

func newPeers(options Options) *peers {
	ctx, cancel := context.WithCancel(context.Background())
	p := &peers{
		address: options.Address, options: options.RPC, partBytes: options.PartBytes, ctx: ctx, cancel: cancel,
		addresses: make(map[replog.ID]string), queues: make(map[queueKey]chan replog.Message),
	}
	p.cluster.Store(new(string))
	return p
}

// learn records the address of a sender, which may not be in the configuration.
func (p *peers) learn(id replog.ID, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.addresses[id]; known || len(p.addresses) < maxLearned {
		p.addresses[id] = address
	}
}

// send enqueues messages for their recipients. It never blocks.
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
		case p.queue(queueKey{address: address, bulk: isBulk(m)}) <- m:
		default:
			droppedMessages.Add(1)
		}
	}
}

// isBulk reports whether m is an append or a snapshot. All other messages must not
// wait behind these.
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

// queue returns the queue for key and starts its sender on first use. The caller
// holds mu.
func (p *peers) queue(key queueKey) chan<- replog.Message {
	if queue, ok := p.queues[key]; ok {
		return queue
	}
	queue := make(chan replog.Message, queueSize)
	p.queues[key] = queue
	p.wg.Go(func() { p.runQueue(key.address, queue) })
	return queue
}

func (p *peers) runQueue(address string, queue <-chan replog.Message) {
	client := rpc.NewClient(address, p.options...)
	defer client.Close()
	snapshots := snapshotSender{peers: p, client: client}
	for {
		select {
		case <-p.ctx.Done():
			return
		case first := <-queue:
			messages, snapshot := collect(first, queue)
			err := p.call(client, messages)
			if err == nil && snapshot != nil {
				err = snapshots.send(*snapshot)
			}
			if err != nil {
				failedCalls.Add(1)
				_ = wait.For(p.ctx, retryDelay)
			}
		}
	}
}

// collect receives the messages that share one call. It stops at a snapshot, which is
// sent separately.
func collect(first replog.Message, queue <-chan replog.Message) (messages []replog.Message, snapshot *replog.Message) {
	size := 0
	for m := first; ; {
		if m.Kind == replog.KindSnapshot {
			return messages, &m
		}
		messages = append(messages, m)
		size += entryBytes(m)
		if len(messages) >= envelopeMessages || size >= envelopeBytes {
			return messages, nil
		}
		select {
		case m = <-queue:
		default:
			return messages, nil
		}
	}
}

// entryBytes returns the size of the entries that a message carries.
func entryBytes(m replog.Message) int {
	size := 0
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	return size
}

// TransferTime returns how much longer a change of some bytes may take than a small one, on
// its way from one process to another.
func TransferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / transferRate
}

func (p *peers) call(client *rpc.Client, messages []replog.Message) error {
	if len(messages) == 0 {
		return nil
	}
	size := 0
	for _, m := range messages {
		size += entryBytes(m)
	}
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout+TransferTime(size))
	defer cancel()
	sentCalls.Add(1)
	sentMessages.Add(int64(len(messages)))
	envelope := wire.Envelope{Cluster: *p.cluster.Load(), Address: p.address, Messages: messages}
	return client.Call(ctx, wire.MethodReplicaMessages, envelope, &wire.Empty{})
}

func (p *peers) close() {
	p.cancel()
	p.wg.Wait()
}
