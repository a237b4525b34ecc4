package replica

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wait"
	"github.com/rosemarypass/rosemarypass/internal/wal"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

const (
	helloInterval = 500 * time.Millisecond
	helloTimeout  = time.Second
	// maxWaiting bounds the instances that wait to be added.
	maxWaiting = 16
	// waitingAge is how long one that went silent is still listed.
	waitingAge = 5 * time.Second
)

// enter founds the log if this instance may and nobody has one. An instance
// whose folder was lost meets peers that belong to a log, so that it can never
// found a second, empty one beside it.
func (r *Replica) enter(ctx context.Context) {
	if r.options.Founders != nil {
		r.enterByChoice(ctx)
		return
	}
	for r.blank() && r.options.Bootstrap && ctx.Err() == nil {
		members, everyone, founded := r.askPeers(ctx)
		if founded {
			return
		}
		if everyone {
			r.found(members)
			return
		}
		_ = wait.For(ctx, helloInterval)
	}
}

// enterByChoice founds the log at once if this instance was chosen to. Another
// instance's leader takes in one that was not.
func (r *Replica) enterByChoice(ctx context.Context) {
	if !r.blank() {
		return
	}
	if members, found := r.options.Founders(ctx, r.self); found {
		r.found(members)
	}
}

func (r *Replica) blank() bool { return r.Status().Config.Cluster == "" }

// askPeers greets every peer. It reports whether all answered and leave the
// founding to this instance, and whether any belongs to a log.
func (r *Replica) askPeers(ctx context.Context) (members []replog.Member, everyone, founded bool) {
	members = []replog.Member{r.self}
	everyone = true
	for _, address := range r.options.Peers {
		if address == r.options.Address {
			continue
		}
		hello, err := r.greet(ctx, address)
		if err != nil {
			everyone = false
			continue
		}
		members = append(members, replog.Member{ID: hello.ID, Address: address})
		founded = founded || hello.Cluster != ""
		// Of two that may found, only one does.
		if hello.Bootstrap && address < r.options.Address {
			everyone = false
		}
	}
	return members, everyone, founded
}

func (r *Replica) greet(ctx context.Context, address string) (wire.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	client := rpc.NewClient(address, r.options.RPC...)
	defer client.Close()
	var reply wire.Hello
	err := client.Call(ctx, wire.MethodReplicaHello, r.hello(), &reply)
	return reply, err
}

func (r *Replica) hello() wire.Hello {
	return wire.Hello{ID: r.self.ID, Address: r.self.Address, Cluster: r.Status().Config.Cluster, Bootstrap: r.options.Bootstrap}
}

// found makes the first configuration durable.
func (r *Replica) found(members []replog.Member) {
	config := replog.Config{Cluster: uuid.NewString(), Voters: members}
	snapshot := replog.InitialSnapshot(config, nil)
	hard := replog.HardState{Term: snapshot.Term}
	if err := r.wal.Append(wal.Batch{HardState: &hard, Snapshot: &snapshot}); err != nil {
		r.failed <- err
		return
	}
	r.log.Info("founded the replicated log", zap.String("cluster", config.Cluster), zap.Int("voters", len(members)))
	if err := r.restore(replog.Restored{HardState: hard, Snapshot: &snapshot}); err != nil {
		r.failed <- err
	}
}

// runHello greets the peers while this instance belongs to no log, so that
// operators see it waiting.
func (r *Replica) runHello(ctx context.Context) {
	for r.blank() && ctx.Err() == nil {
		r.askPeers(ctx)
		_ = wait.For(ctx, helloInterval)
	}
}

// waitingTable remembers instances that belong to no log, by address: one that
// came back with another disk takes the place of what it was.
type waitingTable struct {
	mu   sync.Mutex
	seen map[string]waitingMember
}

type waitingMember struct {
	replog.Member
	at time.Time
}

func newWaitingTable() *waitingTable {
	return &waitingTable{seen: make(map[string]waitingMember)}
}

func (t *waitingTable) add(m replog.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	if _, known := t.seen[m.Address]; known || len(t.seen) < maxWaiting {
		t.seen[m.Address] = waitingMember{Member: m, at: time.Now()}
	}
}

// expire forgets those that went silent. The caller holds mu.
func (t *waitingTable) expire() {
	for address, m := range t.seen {
		if time.Since(m.at) > waitingAge {
			delete(t.seen, address)
		}
	}
}

func (t *waitingTable) members() []replog.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	members := make([]replog.Member, 0, len(t.seen))
	for _, m := range t.seen {
		members = append(members, m.Member)
	}
	slices.SortFunc(members, func(a, b replog.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

func (t *waitingTable) age(address string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.seen[address].at)
}
