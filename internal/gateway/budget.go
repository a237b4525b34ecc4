package gateway

import (
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/mesh"
)

// budget limits the requests that this entry repeats, by service. The limit applies to
// all entries together and needs no communication between them: each entry repeats at most a
// share of the requests that it received itself, plus its part of the slack, so the sum stays
// within the limit.
type budget struct {
	options Options
	mesh    *mesh.Mesh
	// started is the start of this process.
	started time.Time

	mu      sync.Mutex
	buckets map[string]bucket
	// entries is the highest number of entries that has been observed.
	entries int
}

// bucket is the token bucket of one service; each token allows one repeat.
type bucket struct {
	// beyond is the number of tokens beyond those of the granted slack; it is negative where some of
	// these have been spent.
	beyond float64
	at     time.Time
}

const (
	// ratioFactor and slackFactor are below 1 because a repeat can be counted in a later window
	// than its request.
	ratioFactor = 0.7
	slackFactor = 0.6
	// excessHalfLife is the half-life, as a fraction of RepeatWindow, of tokens beyond this
	// entry's part of the slack. With more entries than the slack has repeats, each entry must
	// be able to save up one repeat. If all entries kept it forever, the sum alone could exceed
	// the limit.
	excessHalfLife = 0.25
	// minCapacity is the capacity of a bucket when this entry's part of the slack is less than
	// one token. It exceeds 1 far enough that, despite the decay, a whole token is left when a
	// server fails some time after the last request added to the bucket.
	minCapacity = 1.5
	// slackWindows is the number of windows over which an entry that has restarted gets its part of
	// the slack. In one window, what its earlier incarnations spent and what it gets then stay below
	// that part divided by slackFactor, however often it restarts.
	slackWindows = 2
)

func newBudget(options Options, m *mesh.Mesh) *budget {
	return &budget{options: options, mesh: m, buckets: make(map[string]bucket), entries: 1, started: time.Now()}
}

// ownSlack returns this entry's part of the slack.
func (b *budget) ownSlack() float64 {
	return slackFactor * b.options.RepeatSlack / float64(b.entries)
}

// grantedSlack returns how much of its part of the slack this process has got by the given time. An
// earlier incarnation may have spent the whole part just before.
func (b *budget) grantedSlack(at time.Time) float64 {
	if !b.options.Restarted || b.options.RepeatWindow <= 0 {
		return b.ownSlack()
	}
	share := float64(at.Sub(b.started)) / (slackWindows * float64(b.options.RepeatWindow))
	return b.ownSlack() * min(max(share, 0), 1)
}

// capacity returns the highest number of tokens that a bucket can hold.
func (b *budget) capacity() float64 {
	if slack := b.ownSlack(); slack >= 1 {
		return slack
	}
	return minCapacity
}

// observeMesh records the number of entries that are known now.
func (b *budget) observeMesh() {
	entries := 0
	for _, p := range b.mesh.Known() {
		if p.Entry {
			entries++
		}
	}
	b.observeEntries(entries)
}

// observeEntries records the number of known entries.
func (b *budget) observeEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(b.entries, n)
}

// credit adds the share of one request to the bucket of its service.
func (b *budget) credit(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.save(service, min(b.balance(service, now)+ratioFactor*b.options.RepeatRatio, b.capacity()), now)
}

// save records the tokens that a service has. The caller holds mu.
func (b *budget) save(service string, tokens float64, now time.Time) {
	b.buckets[service] = bucket{beyond: tokens - b.grantedSlack(now), at: now}
}

// balance returns the tokens that a service has at the given time. The caller holds mu.
func (b *budget) balance(service string, now time.Time) float64 {
	saved, known := b.buckets[service]
	tokens := b.grantedSlack(now) + saved.beyond
	excess := tokens - b.ownSlack()
	if !known || excess <= 0 || b.options.RepeatWindow <= 0 {
		return tokens
	}
	halfLives := float64(now.Sub(saved.at)) / (excessHalfLife * float64(b.options.RepeatWindow))
	return b.ownSlack() + excess*math.Exp2(-halfLives)
}

// take removes the token for one repeat, and reports whether there was one.
func (b *budget) take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	available := b.balance(service, now)
	if available < 1 {
		repeatsRefusedCount.Add(1)
		return false
	}
	b.save(service, available-1, now)
	repeatCount.Add(1)
	return true
}

// left returns the tokens of a service and the number of entries that share the slack.
func (b *budget) left(service string, now time.Time) (tokens float64, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance(service, now), b.entries
}

func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 2, 64)
}
