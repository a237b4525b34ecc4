package gateway

import (
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

	mu     sync.Mutex
	tokens map[string]float64
	// entries is the most entries that were known at once.
	entries int
}

const (
	// ratioShare and slackShare leave room for requests that are counted in
	// another window than their repeats.
	ratioShare = 0.7
	slackShare = 0.6
)

func newBudget(options Options, m *mesh.Mesh) *budget {
	return &budget{options: options, mesh: m, tokens: make(map[string]float64), entries: 1}
}

// most is how many repeats one service may have saved up here.
func (b *budget) most() float64 {
	return max(1, slackShare*b.options.RepeatSlack/float64(b.entries))
}

// noteEntries takes the number of entries that are known.
func (b *budget) noteEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(b.entries, n)
}

// began pays in for a request to a service.
func (b *budget) began(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.left(service)+ratioShare*b.options.RepeatRatio, b.most())
}

func (b *budget) left(service string) float64 {
	if left, ok := b.tokens[service]; ok {
		return left
	}
	return b.most()
}

// take pays for one repeat.
func (b *budget) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left(service)
	if left < 1 {
		return false
	}
	b.tokens[service] = left - 1
	repeatCount.Add(1)
	return true
}

func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 2, 64)
}
