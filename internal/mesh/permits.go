package mesh

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/rosemarypass/rosemarypass/coord/modelplan"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// permits decides which model an engine without one loads, and limits the loads from the
// weight store over all engines. The leader of the log grants the loads at the store's
// rate. A new leader starts with an empty token bucket, so that two successive leaders
// together grant no more than one would.
type permits struct {
	mesh *Mesh

	mu       sync.Mutex
	leading  bool
	limiters map[string]*rate.Limiter
	// granted are the loads that engines have not announced yet.
	granted []grantedLoad
}

type grantedLoad struct {
	service, model string
	until          time.Time
}

// permitBurst is how many loads may begin at once; the documentation of the store allows
// three beyond its rate in any window.
const permitBurst = 2

func newPermits(m *Mesh) *permits { return &permits{mesh: m} }

// announceMargin is how long after its load an engine may take to announce the model: a
// few heartbeats.
const announceMargin = 3 * time.Second

func (p *permits) handle(_ context.Context, in permitRequest) (permitReply, error) {
	current := p.mesh.documents.Current()
	if !p.mesh.Self().Leads || !p.mesh.Usable() {
		p.mu.Lock()
		p.leading = false
		p.mu.Unlock()
		return permitReply{}, nil
	}
	service := current.Table.Service(in.Service)
	if service == nil || service.Engine == nil {
		return permitReply{}, nil
	}
	return permitReply{Model: p.choose(service, in.OnDisk, time.Now())}, nil
}

// choose returns the model that an engine may load now, or "" for none.
func (p *permits) choose(service *route.Service, onDisk []string, now time.Time) string {
	model := modelplan.Next(p.models(service, onDisk, now))
	if model == "" {
		return ""
	}
	fromStore := !slices.Contains(onDisk, model) && service.Engine.LoadsPerSecond > 0
	if fromStore && !p.grant(service.Name, service.Engine.LoadsPerSecond, now) {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	loadTime := service.Engine.Model(model).LoadTime
	p.granted = append(p.granted, grantedLoad{service: service.Name, model: model, until: now.Add(2*loadTime + announceMargin)})
	return model
}

// models describes the models of a service. The demand at this entry is an estimate
// of the demand at all entries, since callers are spread randomly.
func (p *permits) models(service *route.Service, onDisk []string, now time.Time) []modelplan.Model {
	holders := make(map[string]int)
	for _, e := range p.mesh.Serving() {
		if e.Service != service.Name {
			continue
		}
		for _, model := range e.Models {
			holders[model]++
		}
	}
	p.mu.Lock()
	p.granted = slices.DeleteFunc(p.granted, func(g grantedLoad) bool { return now.After(g.until) })
	for _, g := range p.granted {
		if g.service == service.Name {
			holders[g.model]++
		}
	}
	p.mu.Unlock()
	names := make([]string, 0, len(service.Engine.Models))
	for _, m := range service.Engine.Models {
		names = append(names, m.Name)
	}
	models := make([]modelplan.Model, 0, len(names))
	for _, name := range names {
		models = append(models, modelplan.Model{
			Name: name, Demand: p.mesh.demandShare(name, names, now), Holders: holders[name], OnDisk: slices.Contains(onDisk, name),
		})
	}
	return models
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
	// leaderlessDelay is how long an agent waits for a leader before it loads without a
	// permit: an engine without a model serves no requests, and few other engines start
	// while there is no leader.
	leaderlessDelay = 4 * time.Second
)

// Permit asks the leader of the log which model an engine that holds none may load now.
// It returns "" when the engine must ask again. onDisk lists the models of which the
// engine keeps a copy; start is when it first asked.
func (m *Mesh) Permit(ctx context.Context, service string, onDisk []string, start time.Time) string {
	leader := m.leader()
	if leader == "" {
		return m.fallbackModel(service, onDisk, start)
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var reply permitReply
	if err := m.call(ctx, leader, methodPermit, permitRequest{Service: service, OnDisk: onDisk}, &reply); err != nil {
		m.log.Warn("permit request to the leader failed", zap.String("leader", leader), telemetry.Cause(err))
		return m.fallbackModel(service, onDisk, start)
	}
	return reply.Model
}

// fallbackModel returns a model when there has been no leader for leaderlessDelay,
// preferably one of which the engine keeps a copy.
func (m *Mesh) fallbackModel(service string, onDisk []string, start time.Time) string {
	table := m.documents.Current().Table
	if table == nil || time.Since(start) <= leaderlessDelay {
		return ""
	}
	svc := table.Service(service)
	if svc == nil || svc.Engine == nil || len(svc.Engine.Models) == 0 {
		return ""
	}
	for _, model := range svc.Engine.Models {
		if slices.Contains(onDisk, model.Name) {
			return model.Name
		}
	}
	return svc.Engine.Models[0].Name
}

// RecordDemand counts a request for a model.
func (m *Mesh) RecordDemand(model string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.demand.Record(model, time.Now())
}

func (m *Mesh) demandShare(model string, models []string, now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.demand.Share(model, models, now)
}

// leader returns the address of the peer that is last known to lead the log, or "" if
// there is none. If two peers are reported as leader, the one heard most recently is
// returned.
func (m *Mesh) leader() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	leader, lastHeard := "", time.Time{}
	for address, q := range m.peers {
		if q.process.Leads && q.lastHeardAny.After(lastHeard) {
			leader, lastHeard = address, q.lastHeardAny
		}
	}
	return leader
}
