package mesh

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// permits bounds the loads of models from the weight store over all engines:
// the log's leader grants them, at the store's own rate. A new leader begins
// with nothing saved up, so that two leaders in a row grant no more than one.
type permits struct {
	mesh *Mesh

	mu       sync.Mutex
	leading  bool
	limiters map[string]*rate.Limiter
}

// permitBurst is how many loads may begin at once; the store's page allows
// three beyond its rate in any window.
const permitBurst = 2

func newPermits(m *Mesh) *permits { return &permits{mesh: m} }

func (p *permits) take(_ context.Context, in permitRequest) (permitReply, error) {
	table := p.mesh.documents.Current().Table
	if !p.mesh.Self().Leads || table == nil {
		p.mu.Lock()
		p.leading = false
		p.mu.Unlock()
		return permitReply{}, nil
	}
	service := table.Service(in.Service)
	if service == nil || service.Engine == nil || service.Engine.LoadsPerSecond <= 0 {
		return permitReply{Granted: true}, nil
	}
	return permitReply{Granted: p.grant(in.Service, service.Engine.LoadsPerSecond, time.Now())}, nil
}

func (p *permits) grant(service string, perSecond float64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.leading {
		p.leading, p.limiters = true, make(map[string]*rate.Limiter)
	}
	limiter := p.limiters[service]
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(perSecond), permitBurst)
		limiter.AllowN(now, permitBurst)
		p.limiters[service] = limiter
	}
	limiter.SetLimitAt(now, rate.Limit(perSecond))
	return limiter.AllowN(now, 1)
}

const (
	permitTimeout = 400 * time.Millisecond
	// withoutLeader is how long an agent waits for a leader before it loads
	// without a permit: an engine without a model serves nobody, and without a
	// leader few others start.
	withoutLeader = 4 * time.Second
)

// Permit asks the log's leader for the load of a model from the weight store.
// since is when the asking began.
func (m *Mesh) Permit(ctx context.Context, service string, since time.Time) bool {
	leader := m.leader()
	if leader == "" {
		return time.Since(since) > withoutLeader
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	client := rpc.NewClient(leader)
	defer client.Close()
	var reply permitReply
	if err := client.Call(ctx, methodPermit, permitRequest{Service: service}, &reply); err != nil {
		m.log.Warn("no permit could be asked for", zap.String("leader", leader), telemetry.Cause(err))
		return time.Since(since) > withoutLeader
	}
	return reply.Granted
}

// leader is the address of the log's leader, as far as is known: of two that
// were told to lead the one that was heard of last.
func (m *Mesh) leader() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	leader, word := "", time.Time{}
	for address, q := range m.peers {
		if q.process.Leads && q.word.After(word) {
			leader, word = address, q.word
		}
	}
	return leader
}
