// Package broker shares the weight store of one site among its agents.
//
// The store loads at full speed up to a number of concurrent loads, its knee, and
// proportionally slower beyond it. Broker keeps the number of loads in flight at
// the knee, which it estimates from measured load times (see Window), and grants
// permits first to the loads with the highest demand. A permit is a lease, so it
// expires if its agent crashes.
//
// Broker is a pure state machine: it takes events with the current time and
// returns grants.
package broker

import (
	"cmp"
	"slices"
	"time"
)

// Key identifies a load: an order of one incarnation of an agent.
type Key struct {
	Agent string `json:"agent"`
	// Incarnation differs between any two runs of an agent.
	Incarnation uint64 `json:"incarnation"`
	// Order is the agent's number for the load (slots.OrderID).
	Order uint64 `json:"order"`
}

// Ask requests a permit. Another Ask with the same key renews the request and updates
// Demand.
type Ask struct {
	Key
	// Demand is the sum of the weights of the requests waiting for the load.
	Demand float64
	// Waited is how long the first of them has waited so far. Without it, a
	// request whose permit had to be returned because no slot was free would
	// restart at the end of the queue each time.
	Waited time.Duration
}

// Grant permits one load until its lease expires.
type Grant struct {
	Key
	// Expires is when the permit expires unless a Report renews it.
	Expires time.Time
}

// Options configure a broker. Zero values select the defaults.
type Options struct {
	// Lease is how long a permit or a queued request is valid without being
	// renewed.
	Lease time.Duration
	// AgeUnit is the waiting time that counts as one unit of demand.
	AgeUnit time.Duration
	Window  WindowOptions
}

const (
	defaultLease   = 15 * time.Second
	defaultAgeUnit = 250 * time.Millisecond
)

// Broker manages the permits of one site. It is not safe for concurrent use.
type Broker struct {
	options Options
	window  *Window
	queue   []pending
	granted map[Key]permit
	expired uint64
}

type pending struct {
	ask       Ask
	since     time.Time
	renewedAt time.Time
}

type permit struct {
	since   time.Time
	expires time.Time
	// inFlight is the number of permits in use when this one was granted,
	// itself included.
	inFlight int
}

// New returns a broker that has granted no permits.
func New(options Options) *Broker {
	if options.Lease == 0 {
		options.Lease = defaultLease
	}
	if options.AgeUnit == 0 {
		options.AgeUnit = defaultAgeUnit
	}
	return &Broker{options: options, window: NewWindow(options.Window), granted: make(map[Key]permit)}
}

// Ask queues or renews a request and returns the resulting grants. A request that was
// already granted is granted again, because the first answer was lost.
func (b *Broker) Ask(ask Ask, now time.Time) []Grant {
	if p, ok := b.granted[ask.Key]; ok {
		return []Grant{{Key: ask.Key, Expires: p.expires}}
	}
	b.enqueue(ask, now)
	return b.grant(now)
}

func (b *Broker) enqueue(ask Ask, now time.Time) {
	if _, granted := b.granted[ask.Key]; granted {
		return
	}
	i := slices.IndexFunc(b.queue, func(p pending) bool { return p.ask.Key == ask.Key })
	if i >= 0 {
		b.queue[i].ask, b.queue[i].renewedAt = ask, now
		return
	}
	b.queue = append(b.queue, pending{ask: ask, since: now.Add(-ask.Waited), renewedAt: now})
}

// Return ends a queued request or an unused permit.
func (b *Broker) Return(key Key, now time.Time) []Grant {
	b.remove(key)
	return b.grant(now)
}

// Loaded ends a permit whose load took the given time, which the window observes.
func (b *Broker) Loaded(key Key, took time.Duration, now time.Time) []Grant {
	b.finish(key, took, now)
	return b.grant(now)
}

// Want is one load in a Report that waits for a permit.
type Want struct {
	Order uint64 `json:"order"`
	// Demand is the sum of the weights of the waiting requests.
	Demand float64 `json:"demand"`
	// Waited is how long the first of them has waited, in nanoseconds.
	Waited time.Duration `json:"waited,omitempty"`
}

// Finished is one finished load in a Report.
type Finished struct {
	Order uint64 `json:"order"`
	// Took is the duration of the load alone, in nanoseconds.
	Took time.Duration `json:"took"`
}

// Report is the complete state of an agent. It replaces the agent's previous report,
// so that a lost message does no harm.
type Report struct {
	Agent       string `json:"agent"`
	Incarnation uint64 `json:"incarnation"`
	// Wanted are the loads that wait for a permit, Held the orders of loads in
	// progress with one, and Finished the loads that have ended since the last
	// answered report.
	Wanted   []Want     `json:"wanted,omitempty"`
	Held     []uint64   `json:"held,omitempty"`
	Finished []Finished `json:"finished,omitempty"`
}

// Sync processes an agent's report and returns the permits of the agent for its wanted
// loads, and the permits that other agents got as a result. Permits that the report
// does not list are freed; held permits are renewed. A held order that the broker does
// not know, as after a restart of the broker, counts as in flight.
func (b *Broker) Sync(r Report, now time.Time) (own, others []Grant) {
	for _, f := range r.Finished {
		b.finish(Key{Agent: r.Agent, Incarnation: r.Incarnation, Order: f.Order}, f.Took, now)
	}
	b.dropUnlisted(r)
	for _, order := range r.Held {
		b.renewPermit(Key{Agent: r.Agent, Incarnation: r.Incarnation, Order: order}, now)
	}
	for _, w := range r.Wanted {
		key := Key{Agent: r.Agent, Incarnation: r.Incarnation, Order: w.Order}
		b.enqueue(Ask{Key: key, Demand: w.Demand, Waited: w.Waited}, now)
	}
	for _, g := range b.grant(now) {
		if g.Agent != r.Agent {
			others = append(others, g)
		}
	}
	return b.grantsFor(r), others
}

func (b *Broker) finish(key Key, took time.Duration, now time.Time) {
	if p, ok := b.granted[key]; ok {
		b.window.Observe(took, p.inFlight, now)
	}
	b.remove(key)
}

// dropUnlisted removes the permits and requests of an agent that its report does not
// list, including those of previous incarnations.
func (b *Broker) dropUnlisted(r Report) {
	listed := func(key Key) bool {
		if key.Incarnation != r.Incarnation {
			return false
		}
		wanted := slices.ContainsFunc(r.Wanted, func(w Want) bool { return w.Order == key.Order })
		return wanted || slices.Contains(r.Held, key.Order)
	}
	for key := range b.granted {
		if key.Agent == r.Agent && !listed(key) {
			delete(b.granted, key)
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(p pending) bool { return p.ask.Agent == r.Agent && !listed(p.ask.Key) })
}

func (b *Broker) renewPermit(key Key, now time.Time) {
	p, ok := b.granted[key]
	if !ok {
		p = permit{since: now, inFlight: len(b.granted) + 1}
	}
	p.expires = now.Add(b.options.Lease)
	b.granted[key] = p
}

func (b *Broker) grantsFor(r Report) []Grant {
	var grants []Grant
	for _, w := range r.Wanted {
		key := Key{Agent: r.Agent, Incarnation: r.Incarnation, Order: w.Order}
		if p, ok := b.granted[key]; ok {
			grants = append(grants, Grant{Key: key, Expires: p.expires})
		}
	}
	return grants
}

func (b *Broker) remove(key Key) {
	delete(b.granted, key)
	b.queue = slices.DeleteFunc(b.queue, func(p pending) bool { return p.ask.Key == key })
}

// Tick removes expired permits, and queued requests that were not renewed in time, and
// returns the resulting grants.
func (b *Broker) Tick(now time.Time) []Grant {
	for key, p := range b.granted {
		if !now.Before(p.expires) {
			delete(b.granted, key)
			b.expired++
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(p pending) bool { return now.Sub(p.renewedAt) >= b.options.Lease })
	return b.grant(now)
}

// InFlight returns the number of granted permits.
func (b *Broker) InFlight() int { return len(b.granted) }

// Queued returns the number of requests waiting for a permit.
func (b *Broker) Queued() int { return len(b.queue) }

// Limit returns the current maximum number of loads in flight.
func (b *Broker) Limit() int { return b.window.Limit() }

// LoadTime returns the store's load time below its knee, or 0 before the first load.
func (b *Broker) LoadTime() time.Duration { return b.window.Base() }

// Expired returns the number of permits whose lease has expired.
func (b *Broker) Expired() uint64 { return b.expired }

func (b *Broker) grant(now time.Time) []Grant {
	var grants []Grant
	for len(b.queue) > 0 && len(b.granted) < b.window.Limit() {
		i := b.first(now)
		key := b.queue[i].ask.Key
		b.queue = slices.Delete(b.queue, i, i+1)
		p := permit{since: now, expires: now.Add(b.options.Lease), inFlight: len(b.granted) + 1}
		b.granted[key] = p
		grants = append(grants, Grant{Key: key, Expires: p.expires})
	}
	return grants
}

// first returns the index of the queued request with the highest priority. Priority
// grows with age, so that a load with little demand does not starve.
func (b *Broker) first(now time.Time) int {
	best, bestScore := 0, 0.0
	for i, p := range b.queue {
		score := b.priority(p, now)
		if i == 0 || cmp.Compare(score, bestScore) > 0 {
			best, bestScore = i, score
		}
	}
	return best
}

func (b *Broker) priority(p pending, now time.Time) float64 {
	return p.ask.Demand + now.Sub(p.since).Seconds()/b.options.AgeUnit.Seconds()
}
