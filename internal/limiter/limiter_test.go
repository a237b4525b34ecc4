package limiter_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/quota"
	"github.com/rosemarypass/rosemarypass/internal/control"
	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/limiter"
	"github.com/rosemarypass/rosemarypass/internal/loopback"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// site is an owner of quotas on loopback with limiters that use it.
type site struct {
	t       *testing.T
	ctx     context.Context
	duties  sync.WaitGroup
	address string
	mu      sync.Mutex
	agreed  contract.Contract
}

// Contract implements limiter.Contracts.
func (s *site) Contract(id string) (contract.Contract, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agreed, s.agreed.ID == id
}

func (s *site) put(agreed contract.Contract) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agreed = agreed
}

func sample(limits contract.Limits) contract.Contract {
	return contract.Contract{ID: "dabke", Revision: 2, Created: 2, Limits: limits, Share: 1}
}

func startSite(t *testing.T, agreed contract.Contract) *site {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{t: t, ctx: ctx, agreed: agreed}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	ownership := control.SoleOwnership{Epoch: 1, LastIndex: func() uint64 { return 1 }}
	quotas := control.NewQuotas(quota.DefaultOptions(), ownership, s.Contract, zap.NewNop())
	server := rpc.NewServer(quotas.Handlers())
	s.duties.Go(func() { quotas.Run(ctx) })
	s.duties.Go(func() { _ = server.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		server.Close()
		s.duties.Wait()
	})
	s.awaitOpen()
	return s
}

// awaitOpen returns once the owner grants. A new owner waits until no earlier
// one's shares can be in use.
func (s *site) awaitOpen() {
	l, stop := s.entry("first", s.address)
	permit, refused := l.Admit(s.ctx, s.ask(1))
	for refused != nil {
		permit, refused = l.Admit(s.ctx, s.ask(1))
	}
	permit.Settle(entry.Use{})
	stop()
}

// entry starts a limiter; stop hands its shares back.
func (s *site) entry(name string, peers ...string) (l *limiter.Limiter, stop func()) {
	l = limiter.New(limiter.Options{Instance: name, Peers: peers, Quota: quota.DefaultOptions()}, s, zap.NewNop())
	s.duties.Go(func() { l.Run(s.ctx) })
	return l, func() { l.Stop(s.ctx) }
}

func (s *site) ask(tokens int64) entry.Ask {
	agreed, _ := s.Contract("dabke")
	return entry.Ask{Contract: agreed, Generated: tokens}
}

func generous() contract.Limits {
	return contract.Limits{RequestsPerSecond: 1000, TokensPerMinute: 60_000, Concurrency: 2, MaxWait: time.Second}
}

// Two entries serve one customer. Were each to count by itself, the customer
// would have twice its concurrency.
func TestConcurrencyHoldsAcrossEntries(t *testing.T) {
	s := startSite(t, sample(generous()))
	a, _ := s.entry("a", s.address)
	b, stopB := s.entry("b", s.address)
	first, refused := a.Admit(s.ctx, s.ask(1))
	if refused != nil {
		t.Fatalf("first: %+v", refused)
	}
	second, refused := b.Admit(s.ctx, s.ask(1))
	if refused != nil {
		t.Fatalf("second: %+v", refused)
	}
	for _, l := range []*limiter.Limiter{a, b} {
		_, refused := l.Admit(s.ctx, s.ask(1))
		if refused == nil || refused.Clause != contract.ClauseConcurrency {
			t.Fatalf("third: %+v", refused)
		}
	}
	second.Settle(entry.Use{})
	stopB()
	// The slots that b handed back serve a.
	third, refused := a.Admit(s.ctx, s.ask(1))
	for refused != nil {
		third, refused = a.Admit(s.ctx, s.ask(1))
	}
	third.Settle(entry.Use{})
	first.Settle(entry.Use{})
}

func TestRefusalNamesItsClause(t *testing.T) {
	s := startSite(t, sample(generous()))
	l, _ := s.entry("a", s.address)
	if _, refused := l.Admit(s.ctx, s.ask(60_001)); refused == nil || refused.Clause != contract.ClauseTokensPerMinute {
		t.Errorf("more than a minute's tokens: %+v", refused)
	}
	permit, refused := l.Admit(s.ctx, s.ask(60_000))
	if refused != nil {
		t.Fatalf("a minute's tokens: %+v", refused)
	}
	defer permit.Settle(entry.Use{Tokens: 60_000})
	if _, refused := l.Admit(s.ctx, s.ask(30_000)); refused == nil || refused.Clause != contract.ClauseTokensPerMinute || refused.RetryAfter <= 0 {
		t.Errorf("half a minute's tokens more: %+v", refused)
	}
}

// A caller gives up while its request waits for a slot. If the request kept its
// place, the slot would be taken for ever by a call that nobody waits for.
func TestCallerThatLeavesTakesNoSlot(t *testing.T) {
	limits := generous()
	limits.Concurrency, limits.MaxWait = 1, time.Minute
	s := startSite(t, sample(limits))
	l, _ := s.entry("a", s.address)
	first, refused := l.Admit(s.ctx, s.ask(1))
	if refused != nil {
		t.Fatalf("%+v", refused)
	}
	ctx, leave := context.WithCancel(s.ctx)
	var waiting sync.WaitGroup
	waiting.Go(func() {
		if _, refused := l.Admit(ctx, s.ask(1)); refused == nil {
			t.Error("a second request was admitted")
		}
	})
	leave()
	waiting.Wait()
	first.Settle(entry.Use{})
	next, refused := l.Admit(s.ctx, s.ask(1))
	if refused != nil {
		t.Fatalf("%+v", refused)
	}
	next.Settle(entry.Use{})
}

// No control instance answers, so nobody can tell what the customer uses
// elsewhere. The caller must not be told that it reached a limit.
func TestWithoutAnOwnerNoClauseIsBlamed(t *testing.T) {
	s := startSite(t, sample(generous()))
	held, err := loopback.NewRefuser()
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	nobody := held.Address()
	l, _ := s.entry("a", nobody)
	if _, refused := l.Admit(s.ctx, s.ask(1)); refused == nil || refused.Clause != "" {
		t.Errorf("%+v", refused)
	}
	// The next instance in the list owns the quotas and is found.
	found, _ := s.entry("b", nobody, s.address)
	permit, refused := found.Admit(s.ctx, s.ask(1))
	if refused != nil {
		t.Fatalf("%+v", refused)
	}
	permit.Settle(entry.Use{})
}

// An operator cuts a contract while it is in use.
func TestChangedContractIsInForceWithoutTraffic(t *testing.T) {
	limits := generous()
	limits.MaxWait = time.Minute
	s := startSite(t, sample(limits))
	l, _ := s.entry("a", s.address)
	for range 2 {
		if _, refused := l.Admit(s.ctx, s.ask(1)); refused != nil {
			t.Fatalf("%+v", refused)
		}
	}
	refusals := make(chan *entry.Refusal, 1)
	var waiting sync.WaitGroup
	waiting.Go(func() {
		_, refused := l.Admit(s.ctx, entry.Ask{Contract: sample(limits), Generated: 1})
		refusals <- refused
	})
	retired := sample(limits)
	retired.Revision, retired.Retired = 3, true
	s.put(retired)
	waiting.Wait()
	if refused := <-refusals; refused == nil || refused.Clause != contract.ClauseRetired {
		t.Errorf("%+v", refused)
	}
}
