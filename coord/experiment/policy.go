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

// Chooser selects servers for an entry. placement.Selector implements it.
type Chooser interface {
	Observe(announced []membership.Announcement, now time.Time)
	Pick(request placement.Request, now time.Time) (placement.Server, bool)
	Dispatched(server string, ref catalogue.Ref, now time.Time)
	Finished(server string, ref catalogue.Ref, ran time.Duration, now time.Time)
	Declined(server string, now time.Time)
	DispatchedPrompt(server string, prefix []prefixcache.Block)
	CacheEvent(event prefixcache.Event)
}

// Permits grants load permits to agents. broker.Broker implements it.
type Permits interface {
	Ask(ask broker.Ask, now time.Time) []broker.Grant
	Return(key broker.Key, now time.Time) []broker.Grant
	Loaded(key broker.Key, took time.Duration, now time.Time) []broker.Grant
	Tick(now time.Time) []broker.Grant
}

// Policy is one combination of placement, slot and permit policies.
type Policy struct {
	Name string
	// Chooser returns a new chooser for one entry, Permits a new broker for the
	// site.
	Chooser func(d Deployment, entry uint64) Chooser
	Slots   slots.Options
	// WaitForSlot makes requests wait for a slot instead of trying another server.
	WaitForSlot bool
	Permits     func() Permits
	// CacheEvents sends cache events to the entries with the load reports; a tenth
	// of them are lost.
	CacheEvents bool
}

// Naive sends each request to the least loaded server, evicts the least recently
// used adapter and does not limit loads.
func Naive() Policy {
	return Policy{
		Name: "naive",
		Chooser: func(_ Deployment, entry uint64) Chooser {
			filters := []placement.Filter{placement.Serves, placement.NotLeaving, placement.NotExcluded}
			picker := placement.NewCustomPicker(filters, []placement.Scorer{leastLoaded})
			return placement.NewSelector(picker, placement.SelectorOptions{Salt: entry})
		},
		Slots:       slots.Options{Eviction: slots.EvictLeastRecent, StarvationTimeout: time.Hour},
		WaitForSlot: true,
		Permits:     func() Permits { return unlimited{} },
	}
}

// ResidentFirst is Naive, except that the load of a server that holds the adapter
// counts as lower by one full batch.
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

// Production returns the policy that the daemons use.
func Production() Policy {
	return Policy{
		Name: "ours",
		Chooser: func(d Deployment, entry uint64) Chooser {
			return placement.NewSelector(placement.NewPicker(), placement.SelectorOptions{Salt: entry, Packing: d.Packing})
		},
		Permits: func() Permits { return broker.New(broker.Options{}) },
	}
}

// WithEvents returns the production policy with cache events sent to the entries.
func WithEvents() Policy {
	p := Production()
	p.Name, p.CacheEvents = "with-events", true
	return p
}

// WithoutPrefix returns the production policy without regard to prefix caches.
func WithoutPrefix() Policy {
	p := Production()
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

// unlimited grants every permit immediately.
type unlimited struct{}

func (unlimited) Ask(ask broker.Ask, now time.Time) []broker.Grant {
	return []broker.Grant{{Key: ask.Key, Expires: now.Add(time.Hour)}}
}
func (unlimited) Return(broker.Key, time.Time) []broker.Grant                { return nil }
func (unlimited) Loaded(broker.Key, time.Duration, time.Time) []broker.Grant { return nil }
func (unlimited) Tick(time.Time) []broker.Grant                              { return nil }
