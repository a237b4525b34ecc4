// Package drain lets a process stop without losing a request: a Gate counts the
// in-flight requests of a role, Connections those of callers, each from before any
// work on them begins.
package drain

import (
	"context"
	"sync"
)

// Gate admits requests until it is closed. A WaitGroup and a flag are not enough:
// a request could pass the check of the flag and be counted only after the wait
// ended, and the shutdown would interrupt it.
type Gate struct {
	mu       sync.Mutex
	inFlight int
	closed   bool
	// idle is closed and signalled is set once the gate is closed and no request is
	// in flight.
	idle      chan struct{}
	signalled bool
}

// NewGate returns an open gate.
func NewGate() *Gate { return &Gate{idle: make(chan struct{})} }

// Enter admits and counts a request. It returns false if the gate is closed.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.inFlight++
	return true
}

// Join counts further work on a request that was already admitted, even if the
// gate is closed.
func (g *Gate) Join() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight++
}

// Leave marks a request counted by Enter or Join as finished.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.signalIfIdle()
}

// Close makes the gate reject new requests. It may be called more than once.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.signalIfIdle()
}

func (g *Gate) signalIfIdle() {
	if g.closed && g.inFlight == 0 && !g.signalled {
		g.signalled = true
		close(g.idle)
	}
}

// Closed reports whether the gate rejects new requests.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Wait closes the gate and waits until no request is in flight or ctx ends. It
// returns the number of requests still in flight.
func (g *Gate) Wait(ctx context.Context) int {
	g.Close()
	select {
	case <-g.idle:
	case <-ctx.Done():
	}
	return g.InFlight()
}
