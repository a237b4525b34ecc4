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

// site is an owner of quotas on the loopback interface with limiters that use
// it.
type site struct {
	t       *testing.T
	ctx     context.Context
	wg      sync.WaitGroup
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

func (s *site) setContract(agreed contract.Contract) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agreed = agreed
}

func testContract(limits contract.Limits) contract.Contract {
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
	s.wg.Go(func() { quotas.Run(ctx) })
	s.wg.Go(func() { _ = server.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		server.Close()
		s.wg.Wait()
	})
	s.awaitGrants()
	return s
}

// awaitGrants returns when the owner grants shares. A new owner first waits
// until no share granted by an earlier owner can be in use.
func (s *site) awaitGrants() {
	l, stop := s.entry("first", s.address)
	permit, refused := l.Admit(s.ctx, s.request(1))
	for refused != nil {
		permit, refused = l.Admit(s.ctx, s.request(1))
	}
	permit.Settle(entry.Usage{})
	stop()
}

// entry starts a limiter. stop returns its shares to the owner.
func (s *site) entry(name string, peers ...string) (l *limiter.Limiter, stop func()) {
	l = limiter.New(limiter.Options{Instance: name, Peers: peers, Quota: quota.DefaultOptions()}, s, zap.NewNop())
	s.wg.Go(func() { l.Run(s.ctx) })
	return l, func() { l.Stop(s.ctx) }
}

func (s *site) request(tokens int64) entry.AdmissionRequest {
	agreed, _ := s.Contract("dabke")
	return entry.AdmissionRequest{Contract: agreed, Generated: tokens}
}

func testLimits() contract.Limits {
	return contract.Limits{RequestsPerSecond: 1000, TokensPerMinute: 60_000, Concurrency: 2, MaxWait: time.Second}
}

// Two entries serve one customer. If each counted separately, the customer
// would get twice its concurrency.
func TestConcurrencyHoldsAcrossEntries(t *testing.T) {
	s := startSite(t, testContract(testLimits()))
	a, _ := s.entry("a", s.address)
	b, stopB := s.entry("b", s.address)
	first, refused := a.Admit(s.ctx, s.request(1))
	if refused != nil {
		t.Fatalf("first request refused: %+v", refused)
	}
	second, refused := b.Admit(s.ctx, s.request(1))
	if refused != nil {
		t.Fatalf("second request refused: %+v", refused)
	}
	for _, l := range []*limiter.Limiter{a, b} {
		_, refused := l.Admit(s.ctx, s.request(1))
		if refused == nil || refused.Clause != contract.ClauseConcurrency {
			t.Fatalf("third request: got %+v, want a refusal for concurrency", refused)
		}
	}
	second.Settle(entry.Usage{})
	stopB()
	// The slots that b returned are available to a.
	third, refused := a.Admit(s.ctx, s.request(1))
	for refused != nil {
		third, refused = a.Admit(s.ctx, s.request(1))
	}
	third.Settle(entry.Usage{})
	first.Settle(entry.Usage{})
}

func TestRefusalNamesItsClause(t *testing.T) {
	s := startSite(t, testContract(testLimits()))
	l, _ := s.entry("a", s.address)
	if _, refused := l.Admit(s.ctx, s.request(60_001)); refused == nil || refused.Clause != contract.ClauseTokensPerMinute {
		t.Errorf("more than the tokens of a minute: got %+v, want a refusal for tokens per minute", refused)
	}
	permit, refused := l.Admit(s.ctx, s.request(60_000))
	if refused != nil {
		t.Fatalf("the tokens of a minute refused: %+v", refused)
	}
	defer permit.Settle(entry.Usage{Tokens: 60_000})
	if _, refused := l.Admit(s.ctx, s.request(30_000)); refused == nil || refused.Clause != contract.ClauseTokensPerMinute || refused.RetryAfter <= 0 {
		t.Errorf("tokens of half a minute more: got %+v, want a refusal with a retry time", refused)
	}
}

// A caller gives up while its request waits for a slot. If the request stayed
// queued, the slot would be taken forever by a call without a caller.
func TestCancelledRequestTakesNoSlot(t *testing.T) {
	limits := testLimits()
	limits.Concurrency, limits.MaxWait = 1, time.Minute
	s := startSite(t, testContract(limits))
	l, _ := s.entry("a", s.address)
	first, refused := l.Admit(s.ctx, s.request(1))
	if refused != nil {
		t.Fatalf("refused: %+v", refused)
	}
	ctx, cancel := context.WithCancel(s.ctx)
	var waiting sync.WaitGroup
	waiting.Go(func() {
		if _, refused := l.Admit(ctx, s.request(1)); refused == nil {
			t.Error("a second request was admitted")
		}
	})
	cancel()
	waiting.Wait()
	first.Settle(entry.Usage{})
	next, refused := l.Admit(s.ctx, s.request(1))
	if refused != nil {
		t.Fatalf("refused: %+v", refused)
	}
	next.Settle(entry.Usage{})
}

// No control instance answers, so the customer's use at other entries is
// unknown. The refusal must not claim that the caller reached a limit.
func TestRefusalWithoutOwnerNamesNoClause(t *testing.T) {
	s := startSite(t, testContract(testLimits()))
	refuser, err := loopback.NewRefuser()
	if err != nil {
		t.Fatal(err)
	}
	defer refuser.Close()
	unreachable := refuser.Address()
	l, _ := s.entry("a", unreachable)
	if _, refused := l.Admit(s.ctx, s.request(1)); refused == nil || refused.Clause != "" {
		t.Errorf("got %+v, want a refusal without a clause", refused)
	}
	// The next instance in the list owns the quotas and must be found.
	found, _ := s.entry("b", unreachable, s.address)
	permit, refused := found.Admit(s.ctx, s.request(1))
	if refused != nil {
		t.Fatalf("refused: %+v", refused)
	}
	permit.Settle(entry.Usage{})
}

// An operator retires a contract while it is in use and a request is queued.
func TestRetiredContractRefusesQueuedRequest(t *testing.T) {
	limits := testLimits()
	limits.MaxWait = time.Minute
	s := startSite(t, testContract(limits))
	l, _ := s.entry("a", s.address)
	for range 2 {
		if _, refused := l.Admit(s.ctx, s.request(1)); refused != nil {
			t.Fatalf("refused: %+v", refused)
		}
	}
	refusals := make(chan *entry.Refusal, 1)
	var waiting sync.WaitGroup
	waiting.Go(func() {
		_, refused := l.Admit(s.ctx, entry.AdmissionRequest{Contract: testContract(limits), Generated: 1})
		refusals <- refused
	})
	retired := testContract(limits)
	retired.Revision, retired.Retired = 3, true
	s.setContract(retired)
	waiting.Wait()
	if refused := <-refusals; refused == nil || refused.Clause != contract.ClauseRetired {
		t.Errorf("got %+v, want a refusal for a retired contract", refused)
	}
}
