package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/prefixcache"
)

// SelectorOptions tune a Selector. Zero values take the defaults, but for Packing.
type SelectorOptions struct {
	// Packing weighs batch efficiency against load stalls: 0 spreads the work
	// over all servers, 1 packs it on as few as can carry it.
	Packing float64
	// ReportLag is how old a load report is when it arrives; dispatches within
	// it are taken as not yet reported.
	ReportLag time.Duration
	// LoadTime and ServiceTime are the estimates before the first measurement.
	LoadTime    time.Duration
	ServiceTime time.Duration
	// DataCentre is the viewer's own; empty counts every server as near.
	DataCentre string
	// Salt makes two entries break ties differently.
	Salt uint64
}

const (
	defaultReportLag   = 300 * time.Millisecond
	defaultLoadTime    = 250 * time.Millisecond
	defaultServiceTime = 2 * time.Second
	// serviceGain is the weight of a new measurement of the service time.
	serviceGain = 0.05
	// tieJitter spreads choices that differ by less, in seconds.
	tieJitter = 0.002
)

// Selector chooses servers for one entry. One duty owns it, or a lock guards it.
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
	// scratch is the candidate being rated; a new one for each would cost an
	// allocation.
	scratch Candidate
}

// NewSelector returns a selector that knows no servers.
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

// Observe takes the directory's present state. Announcements that are not
// newer than the last keep the dispatches counted since.
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
	s.learn(now)
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

// CacheEvent takes an engine's report of its prefix cache.
func (s *Selector) CacheEvent(event prefixcache.Event) { s.prefixes.Apply(event) }

func (s *Selector) holds(server string, ref catalogue.Ref) bool {
	i, known := s.view.byName[server]
	return known && slices.Contains(s.view.holding[ref], i)
}

// Finished records that a dispatched request ended there; ran is how long it
// ran, 0 when it did not run.
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

// Declined records that a server sent a request back for want of a slot. That
// is no failure, but until its next report the server counts as full.
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

// Estimates are what the selector has learnt.
func (s *Selector) Estimates() Estimates { return s.estimates }

// Pick returns the server with the least expected wait, or false when none
// passes the filters.
func (s *Selector) Pick(request Request, now time.Time) (Server, bool) {
	g := groupOf(request.Kind, request.Pool, request.BaseModel)
	estimates := s.estimates
	if request.Kind == membership.KindEngine {
		estimates.Active = s.packer.active(g)
	} else {
		estimates.Active = 0
	}
	c := choice{request: &request, estimates: &estimates, now: now, best: -1}
	s.weigh(&c, g)
	if c.best < 0 {
		return Server{}, false
	}
	return s.view.servers[c.best], true
}

// choice is one decision under way.
type choice struct {
	request   *Request
	estimates *Estimates
	now       time.Time
	order     rendezvous
	best      int32
	cost      float64
}

// weigh considers every server of a small group. In a large one it considers
// those that hold the adapter, the first of its rendezvous order, and a few
// more, drawn anew for each request.
func (s *Selector) weigh(c *choice, g group) {
	members := s.view.groups[g]
	engines := c.request.Kind == membership.KindEngine
	if engines {
		c.order = s.order(c.request, members, c.estimates.Active)
	}
	if len(members) <= weighAll {
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
	for n := range uint64(sampled) {
		s.consider(c, members[mix(hash+s.draws+n*goldenRatio)%uint64(len(members))])
	}
}

func (s *Selector) consider(c *choice, i int32) {
	server := &s.view.servers[i]
	if i == c.best || !s.picker.Passes(c.request, server) {
		return
	}
	s.rate(server, c.request, c.order.position(i), c.now)
	cost := s.picker.Cost(&s.scratch, c.estimates) + s.jitter()
	if c.best < 0 || cost < c.cost {
		c.best, c.cost = i, cost
	}
}

const (
	// weighAll is the largest group in which every server is weighed.
	weighAll = 32
	// sampled is how many further servers are weighed in larger groups.
	sampled = 6
)

// order is the adapter's rendezvous order among the active servers.
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

// rate fills scratch with what is known of a server.
func (s *Selector) rate(server *Server, request *Request, preference int, now time.Time) {
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

// jitter keeps entries that see the same view from all choosing the same of
// two servers that are alike.
func (s *Selector) jitter() float64 {
	s.draws++
	return tieJitter * float64(mix(s.options.Salt+s.draws*goldenRatio)>>11) / (1 << 53)
}

// goldenRatio is the increment of splitmix64.
const goldenRatio = 0x9e3779b97f4a7c15
