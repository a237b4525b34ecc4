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
	// maxWaiting limits the number of instances waiting to be added.
	maxWaiting = 16
	// waitingExpiry is how long a waiting instance stays listed after its last hello.
	waitingExpiry = 5 * time.Second
)

// bootstrap founds the log if this instance is allowed to and no peer belongs to
// one. All peers must have answered: an instance that lost its data folder then
// learns of the existing log and cannot found a second, empty one.
func (r *Replica) bootstrap(ctx context.Context) {
	if r.options.ChooseFounders != nil {
		r.bootstrapChosen(ctx)
		return
	}
	for r.noCluster() && r.options.Bootstrap && ctx.Err() == nil {
		members, mayFound, exists := r.exchangeHellos(ctx)
		if exists {
			return
		}
		if mayFound {
			r.foundLog(members)
			return
		}
		_ = wait.For(ctx, helloInterval)
	}
}

// bootstrapChosen founds the log immediately if ChooseFounders chose this instance.
// Otherwise the leader of the log founded elsewhere adds this instance.
func (r *Replica) bootstrapChosen(ctx context.Context) {
	if !r.noCluster() {
		return
	}
	if members, found := r.options.ChooseFounders(ctx, r.self); found {
		r.foundLog(members)
	}
}

// noCluster reports whether this instance belongs to no log.
func (r *Replica) noCluster() bool { return r.Status().Config.Cluster == "" }

// exchangeHellos sends a hello to every peer. It reports whether this instance may
// found the log, because all peers answered and none of them takes precedence, and
// whether any peer already belongs to a log.
func (r *Replica) exchangeHellos(ctx context.Context) (members []replog.Member, mayFound, exists bool) {
	members = []replog.Member{r.self}
	mayFound = true
	for _, address := range r.options.Peers {
		if address == r.options.Address {
			continue
		}
		hello, err := r.sendHello(ctx, address)
		if err != nil {
			mayFound = false
			continue
		}
		members = append(members, replog.Member{ID: hello.ID, Address: address})
		exists = exists || hello.Cluster != ""
		// Of several instances with Bootstrap set, only the one with the lowest
		// address founds the log.
		if hello.Bootstrap && address < r.options.Address {
			mayFound = false
		}
	}
	return members, mayFound, exists
}

func (r *Replica) sendHello(ctx context.Context, address string) (wire.Hello, error) {
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

// foundLog founds the log: it persists the initial configuration and restores the node
// from it.
func (r *Replica) foundLog(members []replog.Member) {
	config := replog.Config{Cluster: uuid.NewString(), Voters: members}
	snapshot := replog.InitialSnapshot(config, nil)
	hardState := replog.HardState{Term: snapshot.Term}
	if err := r.wal.Append(wal.Batch{HardState: &hardState, Snapshot: &snapshot}); err != nil {
		r.errs <- err
		return
	}
	r.log.Info("founded the replicated log", zap.String("cluster", config.Cluster), zap.Int("voters", len(members)))
	if err := r.restore(replog.Restored{HardState: hardState, Snapshot: &snapshot}); err != nil {
		r.errs <- err
	}
}

// runHello sends hellos to the peers while this instance belongs to no log, so that
// operators see it in the list of waiting instances.
func (r *Replica) runHello(ctx context.Context) {
	for r.noCluster() && ctx.Err() == nil {
		r.exchangeHellos(ctx)
		_ = wait.For(ctx, helloInterval)
	}
}

// waitingTable holds the instances that wait to be added to the log, by address: an
// instance that returns with a new disk replaces its previous record.
type waitingTable struct {
	mu        sync.Mutex
	byAddress map[string]waitingMember
}

type waitingMember struct {
	replog.Member
	seenAt time.Time
}

func newWaitingTable() *waitingTable {
	return &waitingTable{byAddress: make(map[string]waitingMember)}
}

func (t *waitingTable) add(m replog.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	if _, known := t.byAddress[m.Address]; known || len(t.byAddress) < maxWaiting {
		t.byAddress[m.Address] = waitingMember{Member: m, seenAt: time.Now()}
	}
}

// expire deletes the instances that have sent no hello for waitingExpiry. The caller
// holds mu.
func (t *waitingTable) expire() {
	for address, m := range t.byAddress {
		if time.Since(m.seenAt) > waitingExpiry {
			delete(t.byAddress, address)
		}
	}
}

func (t *waitingTable) members() []replog.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	members := make([]replog.Member, 0, len(t.byAddress))
	for _, m := range t.byAddress {
		members = append(members, m.Member)
	}
	slices.SortFunc(members, func(a, b replog.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

func (t *waitingTable) age(address string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.byAddress[address].seenAt)
}
