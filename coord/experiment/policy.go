package experiment

import (
	"time"

	"github.com/rosemarypass/rosemarypass/coord/broker"
	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/placement"
	"github.com/rosemarypass/rosemarypass/coord/prefixcache"
	"github.com/rosemarypass/rosemarypass/coord/slots"
)

// Chooser is what an entry asks for a server; placement.Selector is one.
type Chooser interface {
	Observe(announced []membership.Announcement, now time.Time)
	Pick(request placement.Request, now time.Time) (placement.Server, bool)
	Dispatched(server string, ref catalogue.Ref, now time.Time)
	Finished(server string, ref catalogue.Ref, ran time.Duration, now time.Time)
	Declined(server string, now time.Time)
	DispatchedPrompt(server string, prefix []prefixcache.Block)
	CacheEvent(event prefixcache.Event)
}

// Permits is what an agent asks before a load; broker.Broker is one.
type Permits interface {
	Ask(ask broker.Ask, now time.Time) []broker.Grant
	Return(key broker.Key, now time.Time) []broker.Grant
	Loaded(key broker.Key, took time.Duration, now time.Time) []broker.Grant
	Tick(now time.Time) []broker.Grant
}

// Policy is one set of decisions.
type Policy struct {
	Name string
	// Chooser makes the chooser of one entry, Permits the broker of the site.
	Chooser func(d Deployment, entry uint64) Chooser
	Slots   slots.Options
	// Patient requests never go elsewhere for want of a slot.
	Patient bool
	Permits func() Permits
	// CacheEvents reach the entries with the load reports, a tenth of them lost.
	CacheEvents bool
}

// Naive sends each request to the least loaded server, evicts the least
// recently used adapter and loads at will.
func Naive() Policy {
	return Policy{
		Name: "naive",
		Chooser: func(_ Deployment, entry uint64) Chooser {
			filters := []placement.Filter{placement.Serves, placement.NotLeaving, placement.NotExcluded}
			picker := placement.NewCustomPicker(filters, []placement.Scorer{leastLoaded})
			return placement.NewSelector(picker, placement.SelectorOptions{Salt: entry})
		},
		Slots:   slots.Options{Eviction: slots.EvictLeastRecent, Patience: time.Hour},
		Patient: true,
		Permits: func() Permits { return atWill{} },
	}
}

// ResidentFirst is the naive version but for a server's preference by one
// whole batch when it holds the adapter.
func ResidentFirst() Policy {
	p := Naive()
	p.Name = "resident-first"
	p.Chooser = func(_ Deployment, entry uint64) Chooser {
		filters := []placement.Filter{placement.Serves, placement.NotLeaving, placement.NotExcluded}
		picker := placement.NewCustomPicker(filters, []placement.Scorer{leastLoaded, residentBonus})
		return placement.NewSelector(picker, placement.SelectorOptions{Salt: entry})
	}
	return p
}

// Ours is the shipped policy.
func Ours() Policy {
	return Policy{
		Name: "ours",
		Chooser: func(d Deployment, entry uint64) Chooser {
			return placement.NewSelector(placement.NewPicker(), placement.SelectorOptions{Salt: entry, Packing: d.Packing})
		},
		Permits: func() Permits { return broker.New(broker.Options{}) },
	}
}

// WithEvents is the shipped policy where cache events reach the entries.
func WithEvents() Policy {
	p := Ours()
	p.Name, p.CacheEvents = "with-events", true
	return p
}

// WithoutPrefix is the shipped policy blind to prefix caches.
func WithoutPrefix() Policy {
	p := Ours()
	p.Name = "without-prefix"
	p.Chooser = func(d Deployment, entry uint64) Chooser {
		filters := []placement.Filter{placement.Serves, placement.NotLeaving, placement.NotExcluded}
		picker := placement.NewCustomPicker(filters, []placement.Scorer{placement.QueueWait, placement.LoadWait,
			placement.EvictionCost, placement.Affinity, placement.Packing, placement.DataCentre, placement.Health})
		return placement.NewSelector(picker, placement.SelectorOptions{Salt: entry, Packing: d.Packing})
	}
	return p
}

func leastLoaded(c *placement.Candidate, _ *placement.Estimates) float64 {
	return c.InFlight / float64(max(c.Load.Capacity, 1))
}

func residentBonus(c *placement.Candidate, _ *placement.Estimates) float64 {
	if c.Resident {
		return -1
	}
	return 0
}

// atWill permits every load at once.
type atWill struct{}

func (atWill) Ask(ask broker.Ask, now time.Time) []broker.Grant {
	return []broker.Grant{{Key: ask.Key, Expires: now.Add(time.Hour)}}
}
func (atWill) Return(broker.Key, time.Time) []broker.Grant                { return nil }
func (atWill) Loaded(broker.Key, time.Duration, time.Time) []broker.Grant { return nil }
func (atWill) Tick(time.Time) []broker.Grant                              { return nil }
