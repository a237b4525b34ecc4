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

// permits decides which models engines without one load, and bounds the loads
// from the weight store over all engines: the log's leader grants them, at the
// store's own rate. A new leader begins with nothing saved up, so that two
// leaders in a row grant no more than one.
type permits struct {
	mesh *Mesh

	mu       sync.Mutex
	leading  bool
	limiters map[string]*rate.Limiter
	// granted are the loads that engines do not announce yet.
	granted []grantedLoad
}

type grantedLoad struct {
	service, model string
	until          time.Time
}

// permitBurst is how many loads may begin at once; the store's page allows
// three beyond its rate in any window.
const permitBurst = 2

func newPermits(m *Mesh) *permits { return &permits{mesh: m} }

// announceMargin is how long after its load an engine may take to announce the
// model: some heartbeats.
const announceMargin = 3 * time.Second

func (p *permits) take(_ context.Context, in permitRequest) (permitReply, error) {
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

// choose names the model that an engine may load now, empty for none.
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
	loads := service.Engine.Model(model).LoadTime
	p.granted = append(p.granted, grantedLoad{service: service.Name, model: model, until: now.Add(2*loads + announceMargin)})
	return model
}

// models describes a service's models: what was asked for of this entry stands
// for all, since callers are spread by chance.
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
			Name: name, Demand: p.mesh.demandShare(name, names, now), Holders: holders[name], Near: slices.Contains(onDisk, name),
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
	// withoutLeader is how long an agent waits for a leader before it loads
	// without a permit: an engine without a model serves nobody, and without a
	// leader few others start.
	withoutLeader = 4 * time.Second
)

// Permit asks the log's leader which model an engine that holds none may load
// now; empty when it must ask again. onDisk are those of which it keeps a copy,
// since is when the asking began.
func (m *Mesh) Permit(ctx context.Context, service string, onDisk []string, since time.Time) string {
	leader := m.leader()
	if leader == "" {
		return m.withoutPermit(service, onDisk, since)
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var reply permitReply
	if err := m.ask(ctx, leader, methodPermit, permitRequest{Service: service, OnDisk: onDisk}, &reply); err != nil {
		m.log.Warn("no permit could be asked for", zap.String("leader", leader), telemetry.Cause(err))
		return m.withoutPermit(service, onDisk, since)
	}
	return reply.Model
}

// withoutPermit names a model when no leader has been there for long: rather one
// of which the engine keeps a copy.
func (m *Mesh) withoutPermit(service string, onDisk []string, since time.Time) string {
	table := m.documents.Current().Table
	if table == nil || time.Since(since) <= withoutLeader {
		return ""
	}
	found := table.Service(service)
	if found == nil || found.Engine == nil || len(found.Engine.Models) == 0 {
		return ""
	}
	for _, model := range found.Engine.Models {
		if slices.Contains(onDisk, model.Name) {
			return model.Name
		}
	}
	return found.Engine.Models[0].Name
}

// NoteDemand counts a request for a model.
func (m *Mesh) NoteDemand(model string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.demand.Note(model, time.Now())
}

func (m *Mesh) demandShare(model string, among []string, now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.demand.Share(model, among, now)
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
