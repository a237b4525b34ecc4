package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/backoff"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

// prover runs rounds that seek a proof of freshness; one round serves all callers that
// arrived before it began. The number of callers does not raise the rate beyond one round
// per interval.
type prover struct {
	round func() bool
	// interval returns the time between the starts of two rounds, given how long rounds
	// have been failing.
	interval func(failingFor time.Duration) time.Duration

	mu      sync.Mutex
	running bool
	waiters []chan<- bool
}

// prove reports whether a round that began after the call found a proof. It returns false
// when ctx ends first.
func (p *prover) prove(ctx context.Context) bool {
	answer := make(chan bool, 1)
	p.mu.Lock()
	p.waiters = append(p.waiters, answer)
	if !p.running {
		p.running = true
		go p.run()
	}
	p.mu.Unlock()
	select {
	case proven := <-answer:
		return proven
	case <-ctx.Done():
		return false
	}
}

// run runs rounds until no caller is waiting.
func (p *prover) run() {
	var failures backoff.Outage
	for {
		p.mu.Lock()
		waiters := p.waiters
		p.waiters = nil
		p.running = len(waiters) > 0
		p.mu.Unlock()
		if len(waiters) == 0 {
			return
		}
		start := time.Now()
		proven := p.round()
		for _, answer := range waiters {
			answer <- proven
		}
		failingFor := time.Duration(0)
		if proven {
			failures.Succeeded()
		} else {
			failingFor = failures.Failed(start)
		}
		_ = wait.For(context.Background(), p.interval(failingFor)-time.Since(start))
	}
}
