// Package drain counts the requests of a role, so that a planned stop can
// refuse new ones and wait for the others.
package drain

import (
	"context"
	"sync"
)

// Gate admits requests until it is closed. A WaitGroup and a flag would not
// do: a request could pass the flag and be counted only after the wait ended,
// and the stop would cut it off.
type Gate struct {
	mu       sync.Mutex
	inFlight int
	closed   bool
	// idle is closed, and signalled set, when nothing is in flight after
	// the gate was closed.
	idle      chan struct{}
	signalled bool
}

// NewGate returns an open gate.
func NewGate() *Gate { return &Gate{idle: make(chan struct{})} }

// Enter counts a request in, or returns false when the gate is closed.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.inFlight++
	return true
}

// Join counts in work on a request that was admitted before, also when the
// gate is closed.
func (g *Gate) Join() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight++
}

// Leave counts a request out.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.signal()
}

// Close refuses requests from now on. It may be called more than once.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.signal()
}

func (g *Gate) signal() {
	if g.closed && g.inFlight == 0 && !g.signalled {
		g.signalled = true
		close(g.idle)
	}
}

// Closed reports whether the gate refuses requests.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// InFlight counts the requests that entered and have not left.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Wait closes the gate, returns when nothing is in flight or ctx ends, and
// says how many requests are left.
func (g *Gate) Wait(ctx context.Context) int {
	g.Close()
	select {
	case <-g.idle:
	case <-ctx.Done():
	}
	return g.InFlight()
}
