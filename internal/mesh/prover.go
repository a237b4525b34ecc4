package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/backoff"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

// prover looks for proofs, one round for all whose question came before it. What
// callers ask for does not raise the number of rounds beyond one a pause.
type prover struct {
	round func() bool
	// pause is that between the beginnings of two rounds, the first one without a
	// proof having been so long ago.
	pause func(trouble time.Duration) time.Duration

	mu      sync.Mutex
	running bool
	waiting []chan<- bool
}

// prove reports whether a round that began after the call found a proof. It is
// false when ctx ends before.
func (p *prover) prove(ctx context.Context) bool {
	answer := make(chan bool, 1)
	p.mu.Lock()
	p.waiting = append(p.waiting, answer)
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

// run plays rounds until nobody waits for one.
func (p *prover) run() {
	var trouble backoff.Trouble
	for {
		p.mu.Lock()
		asking := p.waiting
		p.waiting = nil
		p.running = len(asking) > 0
		p.mu.Unlock()
		if len(asking) == 0 {
			return
		}
		began := time.Now()
		proven := p.round()
		for _, answer := range asking {
			answer <- proven
		}
		lasts := time.Duration(0)
		if proven {
			trouble.Over()
		} else {
			lasts = trouble.Failed(began)
		}
		_ = wait.For(context.Background(), p.pause(lasts)-time.Since(began))
	}
}
