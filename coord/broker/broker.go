// Package broker shares one site's weight store among its agents.
//
// The store loads quickly up to some number of loads in flight, its knee, and
// proportionally slower beyond. Broker keeps the loads in flight at the knee,
// which it learns from measured load times (Window), and gives permits first
// to the loads that most requests wait for. A permit is a lease: when its agent
// dies, the permit comes back by itself.
//
// Broker is a pure state machine: events with the time in, grants out.
package broker

import (
	"cmp"
	"slices"
	"time"
)

// Key identifies a wanted load: an order of one agent in one incarnation.
type Key struct {
	Agent string `json:"agent"`
	// Incarnation differs between two runs of one agent.
	Incarnation uint64 `json:"incarnation"`
	// Order is the agent's own number of the load (slots.OrderID).
	Order uint64 `json:"order"`
}

// Ask requests a permit. Asking again renews the request and updates Demand.
type Ask struct {
	Key
	// Demand is the sum of the weights of the requests that wait for the load.
	Demand float64
	// Waited is how long the first of them has waited already. A request
	// whose permit had to go back for want of a slot would else start at the
	// end of the queue, again and again.
	Waited time.Duration
}

// Grant permits one load until its lease ends.
type Grant struct {
	Key
	// Expires is when the permit comes back unless a Report holds it.
	Expires time.Time
}

// Options tune a broker. Zero values take the defaults.
type Options struct {
	// Lease is how long a permit lasts without its end being reported, and
	// how long an ask lasts without being renewed.
	Lease time.Duration
	// AgeUnit is the time of waiting that weighs as much as 1 more of demand.
	AgeUnit time.Duration
	Window  WindowOptions
}

const (
	defaultLease   = 15 * time.Second
	defaultAgeUnit = 250 * time.Millisecond
)

// Broker owns the permits of one site. One duty owns it.
type Broker struct {
	options Options
	window  *Window
	queue   []pending
	granted map[Key]permit
	expired uint64
}

type pending struct {
	ask   Ask
	since time.Time
	seen  time.Time
}

type permit struct {
	since   time.Time
	expires time.Time
	// inFlight is how many permits were out when this one was given.
	inFlight int
}

// New returns a broker without permits out.
func New(options Options) *Broker {
	if options.Lease == 0 {
		options.Lease = defaultLease
	}
	if options.AgeUnit == 0 {
		options.AgeUnit = defaultAgeUnit
	}
	return &Broker{options: options, window: NewWindow(options.Window), granted: make(map[Key]permit)}
}

// Ask queues or renews a request and returns the grants that are due. One
// that was granted already is granted again: the first answer was lost.
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
		b.queue[i].ask, b.queue[i].seen = ask, now
		return
	}
	b.queue = append(b.queue, pending{ask: ask, since: now.Add(-ask.Waited), seen: now})
}

// Return ends a queued request or a permit whose load did not happen.
func (b *Broker) Return(key Key, now time.Time) []Grant {
	b.forget(key)
	return b.grant(now)
}

// Loaded ends a permit whose load took the given time; the window learns from it.
func (b *Broker) Loaded(key Key, took time.Duration, now time.Time) []Grant {
	b.finish(key, took, now)
	return b.grant(now)
}

// Want is one load in a Report that waits for a permit.
type Want struct {
	Order uint64 `json:"order"`
	// Demand is the sum of the weights of the requests that wait.
	Demand float64 `json:"demand"`
	// Waited is how long the first of them has waited, in nanoseconds.
	Waited time.Duration `json:"waited,omitempty"`
}

// Finished is one ended load in a Report.
type Finished struct {
	Order uint64 `json:"order"`
	// Took is the time of the load alone, in nanoseconds.
	Took time.Duration `json:"took"`
}

// Report is everything that an agent wants and holds. It replaces what the
// agent said before, so that a lost message does no harm.
type Report struct {
	Agent       string `json:"agent"`
	Incarnation uint64 `json:"incarnation"`
	// Wanted are loads that wait for a permit; Held are the orders under way
	// with one; Finished ended since the last report that was answered.
	Wanted   []Want     `json:"wanted,omitempty"`
	Held     []uint64   `json:"held,omitempty"`
	Finished []Finished `json:"finished,omitempty"`
}

// Sync takes an agent's report and returns the permits that the agent has for
// what it wants, and those that other agents got by it. Permits that the agent
// neither wants nor holds come back; held permits are renewed. A held order
// that the broker does not know, as after its restart, counts as in flight.
func (b *Broker) Sync(r Report, now time.Time) (own, others []Grant) {
	for _, f := range r.Finished {
		b.finish(Key{Agent: r.Agent, Incarnation: r.Incarnation, Order: f.Order}, f.Took, now)
	}
	b.keepOnly(r)
	for _, order := range r.Held {
		b.hold(Key{Agent: r.Agent, Incarnation: r.Incarnation, Order: order}, now)
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
	b.forget(key)
}

// keepOnly forgets what the agent no longer mentions, former incarnations included.
func (b *Broker) keepOnly(r Report) {
	mentioned := func(key Key) bool {
		if key.Incarnation != r.Incarnation {
			return false
		}
		wanted := slices.ContainsFunc(r.Wanted, func(w Want) bool { return w.Order == key.Order })
		return wanted || slices.Contains(r.Held, key.Order)
	}
	for key := range b.granted {
		if key.Agent == r.Agent && !mentioned(key) {
			delete(b.granted, key)
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(p pending) bool { return p.ask.Agent == r.Agent && !mentioned(p.ask.Key) })
}

func (b *Broker) hold(key Key, now time.Time) {
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

func (b *Broker) forget(key Key) {
	delete(b.granted, key)
	b.queue = slices.DeleteFunc(b.queue, func(p pending) bool { return p.ask.Key == key })
}

// Tick takes back permits and drops queued requests whose agents have gone silent.
func (b *Broker) Tick(now time.Time) []Grant {
	for key, p := range b.granted {
		if !now.Before(p.expires) {
			delete(b.granted, key)
			b.expired++
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(p pending) bool { return now.Sub(p.seen) >= b.options.Lease })
	return b.grant(now)
}

// InFlight counts the permits that are out.
func (b *Broker) InFlight() int { return len(b.granted) }

// Queued counts the requests that wait for a permit.
func (b *Broker) Queued() int { return len(b.queue) }

// Limit is the most loads that the broker now keeps in flight.
func (b *Broker) Limit() int { return b.window.Limit() }

// LoadTime is the store's load time below its knee, 0 before the first load.
func (b *Broker) LoadTime() time.Duration { return b.window.Base() }

// Expired counts permits that came back because their lease ended.
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

// first finds the queued request with the most demand. Age counts too, so that a load
// with one waiter is not passed over for ever.
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
