package gateway

import (
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/mesh"
)

// budget bounds what this entry sends once more, by service. The bound holds
// for all entries together: each repeats at most a share of the requests that
// it took itself, plus its part of the slack, so the sum keeps the bound
// without any message between them.
type budget struct {
	options Options
	mesh    *mesh.Mesh

	mu    sync.Mutex
	saved map[string]savings
	// entries is the most entries that were known at once.
	entries int
}

// savings are the repeats that one service may have now.
type savings struct {
	tokens float64
	at     time.Time
}

const (
	// ratioShare and slackShare leave room for requests that are counted in
	// another window than their repeats.
	ratioShare = 0.7
	slackShare = 0.6
	// keptWindows is the half-life, in windows of the bound, of what is saved up
	// beyond the own part of the slack. With more entries than the slack has
	// repeats each must be able to save up one; if all kept it for ever, their
	// sum alone could break the bound.
	keptWindows = 0.25
	// savedMost is the most that an entry saves up whose part of the slack is under
	// one: so much more than one that a whole repeat is left when a server fails some
	// time after the request that paid in last.
	savedMost = 1.5
)

func newBudget(options Options, m *mesh.Mesh) *budget {
	return &budget{options: options, mesh: m, saved: make(map[string]savings), entries: 1}
}

// part is this entry's part of the slack.
func (b *budget) part() float64 {
	return slackShare * b.options.RepeatSlack / float64(b.entries)
}

// most is the most that this entry saves up.
func (b *budget) most() float64 {
	if part := b.part(); part >= 1 {
		return part
	}
	return savedMost
}

// noteEntries takes the number of entries that are known.
func (b *budget) noteEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(b.entries, n)
}

// began pays in for a request to a service.
func (b *budget) began(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := min(b.left(service, now)+ratioShare*b.options.RepeatRatio, b.most())
	b.saved[service] = savings{tokens: tokens, at: now}
}

// left is what a service has now. The caller holds mu.
func (b *budget) left(service string, now time.Time) float64 {
	s, known := b.saved[service]
	if !known {
		return b.part()
	}
	beyond := s.tokens - b.part()
	if beyond <= 0 || b.options.RepeatWindow <= 0 {
		return s.tokens
	}
	halves := float64(now.Sub(s.at)) / (keptWindows * float64(b.options.RepeatWindow))
	return b.part() + beyond*math.Exp2(-halves)
}

// take pays for one repeat.
func (b *budget) take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left(service, now)
	if left < 1 {
		return false
	}
	b.saved[service] = savings{tokens: left - 1, at: now}
	repeatCount.Add(1)
	return true
}

func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 2, 64)
}
