package placement

import (
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
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
	estimates Estimates
	scale     float64
	draws     uint64
}

// NewSelector returns a selector that knows no servers.
func NewSelector(picker *Picker, options SelectorOptions) *Selector {
	setDefault(&options.ReportLag, defaultReportLag)
	setDefault(&options.LoadTime, defaultLoadTime)
	setDefault(&options.ServiceTime, defaultServiceTime)
	return &Selector{
		options:   options,
		picker:    picker,
		view:      NewView(nil, time.Time{}),
		own:       make(map[string]*ledger),
		packer:    packer{packing: options.Packing},
		estimates: Estimates{LoadTime: options.LoadTime, ServiceTime: options.ServiceTime},
		scale:     1,
	}
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
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
		}
	}
	s.learn(now)
}

// Dispatched records that a request was sent to a server.
func (s *Selector) Dispatched(server string, ref catalogue.Ref, now time.Time) {
	s.ledger(server).add(ref, !s.holds(server, ref), now)
}

func (s *Selector) holds(server string, ref catalogue.Ref) bool {
	i, known := s.view.byName[server]
	return known && slices.Contains(s.view.holding[ref], i)
}

// Finished records that a dispatched request ended there; ran is how long it
// ran, 0 when it was refused.
func (s *Selector) Finished(server string, ref catalogue.Ref, ran time.Duration, now time.Time) {
	s.ledger(server).end(now)
	if ran > 0 && ref != (catalogue.Ref{}) {
		mean := float64(s.estimates.ServiceTime)
		s.estimates.ServiceTime = time.Duration(mean + serviceGain*(float64(ran)-mean))
	}
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
func (s *Selector) Pick(request Request) (Server, bool) {
	g := groupOf(request.Kind, request.Pool, request.BaseModel)
	estimates := s.estimates
	if request.Kind == membership.KindEngine {
		estimates.Active = s.packer.active(g)
	} else {
		estimates.Active = 0
	}
	best, bestCost := int32(-1), 0.0
	consider := func(i int32, preference int) {
		server := &s.view.servers[i]
		if i == best || !s.picker.Passes(&request, server) {
			return
		}
		candidate := s.candidate(server, request.Ref, preference)
		cost := s.picker.Cost(&candidate, &estimates) + s.jitter()
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	s.weigh(&request, g, estimates.Active, consider)
	if best < 0 {
		return Server{}, false
	}
	return s.view.servers[best], true
}

func (s *Selector) weigh(request *Request, g group, active int, consider func(int32, int)) {
	members := s.view.groups[g]
	if request.Kind == membership.KindService || len(members) <= weighAll {
		s.weighMembers(request, members, active, consider)
		return
	}
	order := s.order(request, members, active)
	for i := range order.n {
		consider(order.servers[i], i)
	}
	for _, i := range s.view.holding[request.Ref] {
		consider(i, order.position(i))
	}
	hash := refHash(request.Ref)
	for n := range uint64(sampled) {
		i := members[mix(hash+s.draws+n)%uint64(len(members))]
		consider(i, order.position(i))
	}
}

const (
	// weighAll is the largest group in which every server is weighed.
	weighAll = 32
	// sampled is how many further servers are weighed in larger groups.
	sampled = 6
)

func (s *Selector) weighMembers(request *Request, members []int32, active int, consider func(int32, int)) {
	if request.Kind == membership.KindService {
		for _, i := range members {
			consider(i, 0)
		}
		return
	}
	order := s.order(request, members, active)
	for _, i := range members {
		consider(i, order.position(i))
	}
}

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

func (s *Selector) candidate(server *Server, ref catalogue.Ref, preference int) Candidate {
	c := Candidate{Server: server, Preference: preference, Obtainable: server.Load.Obtainable}
	l := s.own[server.Server]
	c.InFlight = max(float64(server.Load.Running+server.Load.Waiting)+s.scale*float64(l.delta()), float64(l.inFlight))
	if server.Kind != membership.KindEngine {
		return c
	}
	for _, resident := range server.Load.Resident {
		c.Resident = c.Resident || resident == ref
	}
	for _, loading := range server.Load.Loading {
		c.Arriving = c.Arriving || loading == ref
	}
	sent, taken := l.since(ref)
	c.Arriving = c.Arriving || sent
	c.Obtainable -= taken
	return c
}

// jitter keeps entries that see the same view from all choosing the same of
// two servers that are alike.
func (s *Selector) jitter() float64 {
	s.draws++
	return tieJitter * float64(mix(s.options.Salt+s.draws*goldenRatio)>>11) / (1 << 53)
}

// goldenRatio is the increment of splitmix64.
const goldenRatio = 0x9e3779b97f4a7c15
