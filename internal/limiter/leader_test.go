package limiter_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/quota"
	"github.com/rosemarypass/rosemarypass/internal/control"
	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/replica"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
)

// emptyStateMachine is a state machine without state.
type emptyStateMachine struct{}

func (emptyStateMachine) Apply(uint64, []byte) []byte { return nil }
func (emptyStateMachine) Snapshot() ([]byte, error)   { return nil, nil }
func (emptyStateMachine) Restore([]byte) error        { return nil }

// controlInstance is a member of the replicated log that may own the quotas.
type controlInstance struct {
	ownership *control.LeaderOwnership
	stop      func()
}

func startControlInstances(t *testing.T, s *site, size int) (instances []controlInstance, addresses []string) {
	t.Helper()
	listeners := make([]net.Listener, size)
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = listener
		addresses = append(addresses, listener.Addr().String())
	}
	for i, listener := range listeners {
		r, err := replica.Open(replica.Options{
			Instance: fmt.Sprint("control-", i), Address: addresses[i], Peers: addresses, Bootstrap: i == 0, Folder: t.TempDir(),
		}, emptyStateMachine{}, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		instance := controlInstance{ownership: control.NewLeaderOwnership(r)}
		quotas := control.NewQuotas(quota.DefaultOptions(), instance.ownership, s.Contract, zap.NewNop())
		handlers := r.Handlers()
		for method, handler := range quotas.Handlers() {
			handlers[method] = handler
		}
		server := rpc.NewServer(handlers)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = server.Serve(ctx, listener) })
		wg.Go(func() { r.Run(ctx) })
		wg.Go(func() { instance.ownership.Run(ctx) })
		wg.Go(func() { quotas.Run(ctx) })
		instance.stop = sync.OnceFunc(func() {
			cancel()
			_ = listener.Close()
			server.Close()
			wg.Wait()
		})
		t.Cleanup(instance.stop)
		instances = append(instances, instance)
	}
	return instances, addresses
}

// owner returns the index of the instance that owns the quotas, and its epoch.
func owner(t *testing.T, instances []controlInstance) (index int, epoch uint64) {
	t.Helper()
	for {
		owners := 0
		for i, instance := range instances {
			if e, _, ok := instance.ownership.QuotaTenure(); ok {
				index, epoch = i, e
				owners++
			}
		}
		if owners > 1 {
			t.Fatal("two instances own the quotas")
		}
		if owners == 1 {
			return index, epoch
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// The control leader crashes while a customer uses part of its contract. The
// next leader does not know of that use and must not lease it a second time.
// The customer must still get the rest of its contract.
func TestLimitsHoldAcrossLeaderChange(t *testing.T) {
	limits := testLimits()
	limits.MaxWait = 30 * time.Second
	s := startSite(t, testContract(limits))
	instances, addresses := startControlInstances(t, s, 3)
	first, epoch := owner(t, instances)
	l, _ := s.entry("a", addresses...)
	firstPermit, refused := l.Admit(s.ctx, s.request(1))
	if refused != nil {
		t.Fatalf("refused under the first owner: %+v", refused)
	}
	instances[first].stop()
	_, nextEpoch := owner(t, append(instances[:first:first], instances[first+1:]...))
	if nextEpoch <= epoch {
		t.Fatalf("epoch of the next owner is %d, want more than %d", nextEpoch, epoch)
	}
	secondPermit, refused := l.Admit(s.ctx, s.request(1))
	if refused != nil {
		t.Fatalf("refused under the next owner: %+v", refused)
	}
	// Another entry finds the concurrency used up.
	other, _ := s.entry("b", addresses...)
	shortWait := s.request(1)
	shortWait.Contract.Limits.MaxWait = 3 * time.Second
	if _, refused := other.Admit(s.ctx, shortWait); refused == nil || refused.Clause != contract.ClauseConcurrency {
		t.Errorf("third concurrent request: got %+v, want a refusal for concurrency", refused)
	}
	firstPermit.Settle(entry.Usage{})
	secondPermit.Settle(entry.Usage{})
}
