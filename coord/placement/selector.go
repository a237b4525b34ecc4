package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/prefixcache"
)

// SelectorOptions configures a Selector. Zero values select the defaults,
// except for Packing.
type SelectorOptions struct {
	// Packing is the trade-off between batch efficiency and load stalls: 0
	// spreads requests over all servers, 1 packs them on the fewest that can
	// carry them.
	Packing float64
	// ReportLag is the age of a load report on arrival; dispatches within it
	// count as not yet reported.
	ReportLag time.Duration
	// LoadTime and ServiceTime are the estimates before the first measurement.
	LoadTime    time.Duration
	ServiceTime time.Duration
	// DataCentre is the viewer's data centre; when empty, every server counts as
	// local.
	DataCentre string
	// Salt differs between entries so that they break ties differently.
	Salt uint64
}

const (
	defaultReportLag   = 300 * time.Millisecond
	defaultLoadTime    = 250 * time.Millisecond
	defaultServiceTime = 2 * time.Second
	// serviceGain is the weight of a new measurement of the service time.
	serviceGain = 0.05
	// tieJitter is the range of the random cost, in seconds, that spreads
	// requests between servers whose costs differ by less.
	tieJitter = 0.002
)

// Selector chooses servers for one entry. It is not safe for concurrent use.
type Selector struct {
	options   SelectorOptions
	picker    *Picker
	view      *View
	own       map[string]*ledger
	packer    packer
	prefixes  *prefixcache.Index
	estimates Estimates
	scale     float64
	draws     uint64
	// scratch is the candidate being evaluated, reused to avoid an allocation per
	// candidate.
	scratch Candidate
}

// NewSelector returns a selector without servers.
func NewSelector(picker *Picker, options SelectorOptions) *Selector {
	options.ReportLag = cmp.Or(options.ReportLag, defaultReportLag)
	options.LoadTime = cmp.Or(options.LoadTime, defaultLoadTime)
	options.ServiceTime = cmp.Or(options.ServiceTime, defaultServiceTime)
	return &Selector{
		options:   options,
		picker:    picker,
		view:      NewView(nil, time.Time{}),
		own:       make(map[string]*ledger),
		packer:    packer{packing: options.Packing},
		prefixes:  prefixcache.NewIndex(prefixcache.Options{}),
		estimates: Estimates{LoadTime: options.LoadTime, ServiceTime: options.ServiceTime},
		scale:     1,
	}
}

// Observe updates the selector to the current state of the directory. When an
// announcement is not newer than the last one, the dispatches counted since
// then are kept.
func (s *Selector) Observe(announced []membership.Announcement, now time.Time) {
	s.view = NewView(announced, now)
	for i := range s.view.servers {
		server := &s.view.servers[i]
		s.ledger(server.Server).reported(&server.Announcement, now.Add(-s.options.ReportLag))
	}
	for name, l := range s.own {
		if _, present := s.view.byName[name]; !present && l.inFlight == 0 {
			delete(s.own, name)
			s.prefixes.Forget(name)
		}
	}
	s.updateEstimates(now)
}

// Dispatched records that a request was sent to a server.
func (s *Selector) Dispatched(server string, ref catalogue.Ref, now time.Time) {
	s.ledger(server).add(ref, !s.holds(server, ref), now)
}

// DispatchedPrompt records the prompt of a request that was sent to a server.
func (s *Selector) DispatchedPrompt(server string, prefix []prefixcache.Block) {
	if len(prefix) > 0 {
		s.prefixes.Dispatched(server, prefix)
	}
}

// CacheEvent applies an engine's report about its prefix cache.
func (s *Selector) CacheEvent(event prefixcache.Event) { s.prefixes.Apply(event) }

func (s *Selector) holds(server string, ref catalogue.Ref) bool {
	i, known := s.view.byName[server]
	return known && slices.Contains(s.view.holding[ref], i)
}

// Finished records that a dispatched request ended on a server. ran is the time
// that it ran, 0 when it did not run.
func (s *Selector) Finished(server string, ref catalogue.Ref, ran time.Duration, now time.Time) {
	l := s.ledger(server)
	l.end(now)
	if ran == 0 {
		l.failures.add(now)
	}
	if ran > 0 && ref != (catalogue.Ref{}) {
		mean := float64(s.estimates.ServiceTime)
		s.estimates.ServiceTime = time.Duration(mean + serviceGain*(float64(ran)-mean))
	}
}

// Declined records that a server returned a request for lack of a slot. This is
// not a failure, but the server counts as full until its next report.
func (s *Selector) Declined(server string, now time.Time) {
	l := s.ledger(server)
	l.end(now)
	l.full = true
}

func (s *Selector) ledger(server string) *ledger {
	l, ok := s.own[server]
	if !ok {
		l = &ledger{}
		s.own[server] = l
	}
	return l
}

// Estimates returns the selector's current estimates.
func (s *Selector) Estimates() Estimates { return s.estimates }

// Pick returns the server with the lowest expected wait, or false when no
// server passes the filters.
func (s *Selector) Pick(request Request, now time.Time) (Server, bool) {
	g := groupOf(request.Kind, request.Pool, request.BaseModel)
	estimates := s.estimates
	if request.Kind == membership.KindEngine {
		estimates.Active = s.packer.active(g)
	} else {
		estimates.Active = 0
	}
	c := choice{request: &request, estimates: &estimates, now: now, best: -1}
	s.considerGroup(&c, g)
	if c.best < 0 {
		return Server{}, false
	}
	return s.view.servers[c.best], true
}

// choice is the state of one decision.
type choice struct {
	request   *Request
	estimates *Estimates
	now       time.Time
	order     rendezvous
	best      int32
	cost      float64
}

// considerGroup considers every server of a small group. In a large group it
// considers the servers that hold the adapter, the first servers of its
// rendezvous order, and a few others drawn at random for each request.
func (s *Selector) considerGroup(c *choice, g group) {
	members := s.view.groups[g]
	engines := c.request.Kind == membership.KindEngine
	if engines {
		c.order = s.order(c.request, members, c.estimates.Active)
	}
	if len(members) <= considerAllLimit {
		for _, i := range members {
			s.consider(c, i)
		}
		return
	}
	for i := range c.order.n {
		s.consider(c, c.order.servers[i])
	}
	if engines {
		for _, i := range s.view.holding[c.request.Ref] {
			s.consider(c, i)
		}
	}
	hash := refHash(c.request.Ref)
	for n := range uint64(sampleSize) {
		s.consider(c, members[mix(hash+s.draws+n*goldenRatio)%uint64(len(members))])
	}
}

func (s *Selector) consider(c *choice, i int32) {
	server := &s.view.servers[i]
	if i == c.best || !s.picker.Passes(c.request, server) {
		return
	}
	s.fillCandidate(server, c.request, c.order.position(i), c.now)
	cost := s.picker.Cost(&s.scratch, c.estimates) + s.jitter()
	if c.best < 0 || cost < c.cost {
		c.best, c.cost = i, cost
	}
}

const (
	// considerAllLimit is the size of the largest group in which every server is
	// considered.
	considerAllLimit = 32
	// sampleSize is how many random servers are considered in larger groups.
	sampleSize = 6
)

// order returns the adapter's rendezvous order among the active servers.
func (s *Selector) order(request *Request, members []int32, active int) rendezvous {
	if active > 0 && active < len(members) {
		members = members[:active]
	}
	var order rendezvous
	hash := refHash(request.Ref)
	for _, i := range members {
		order.offer(i, mix(hash^s.view.servers[i].hash))
	}
	return order
}

// fillCandidate sets scratch to the estimated state of a server.
func (s *Selector) fillCandidate(server *Server, request *Request, preference int, now time.Time) {
	l := s.own[server.Server]
	reported := float64(server.Load.Running + server.Load.Waiting)
	s.scratch = Candidate{
		Server:     server,
		Preference: preference,
		InFlight:   max(reported+s.scale*float64(l.delta()), float64(l.inFlight)),
		Failures:   l.failures.decayed(now),
		Remote:     s.options.DataCentre != "" && server.DataCentre != "" && server.DataCentre != s.options.DataCentre,
	}
	if server.Kind != membership.KindEngine {
		return
	}
	ref := request.Ref
	sent, taken := l.since(ref)
	s.scratch.Resident = slices.Contains(server.Load.Resident, ref)
	s.scratch.Arriving = sent || slices.Contains(server.Load.Loading, ref)
	s.scratch.Obtainable = server.Load.Obtainable - taken
	if s.scratch.Resident {
		s.scratch.CachedBlocks = s.prefixes.Expected(server.Server, request.Prefix)
	}
	if l.full {
		s.scratch.Obtainable = min(s.scratch.Obtainable, 0)
	}
}

// jitter keeps entries with the same view from all choosing the same one of two
// equal servers.
func (s *Selector) jitter() float64 {
	s.draws++
	return tieJitter * float64(mix(s.options.Salt+s.draws*goldenRatio)>>11) / (1 << 53)
}

// goldenRatio is the increment of splitmix64.
const goldenRatio = 0x9e3779b97f4a7c15
