package gateway

import (
	"strings"
	"sync"
)

// underWay holds the requests that are being served, until their handlers have returned; the connection is open a
// little longer.
type underWay struct {
	mu       sync.Mutex
	requests map[*string]struct{}
	ended    int64
	last     string
}

// UnderWay tells which requests are being served.
type UnderWay struct {
	Count int
	// IDs names some of them.
	IDs []string
	// Ended is how many have ended since the start, LastEnded the ID of the last of them.
	Ended     int64
	LastEnded string
}

// maxNamedID bounds the length, in bytes, of the IDs that are kept.
const maxNamedID = 64

// begin adds a request; the returned function removes it.
func (u *underWay) begin(id string) (end func()) {
	id = strings.Clone(id[:min(len(id), maxNamedID)])
	key := &id
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.requests == nil {
		u.requests = make(map[*string]struct{})
	}
	u.requests[key] = struct{}{}
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.requests, key)
		u.ended++
		u.last = id
	}
}

// UnderWay tells which requests are being served, with the IDs of at most limit of them.
func (g *Gateway) UnderWay(limit int) UnderWay {
	u := &g.underWay
	u.mu.Lock()
	defer u.mu.Unlock()
	seen := UnderWay{Count: len(u.requests), Ended: u.ended, LastEnded: u.last}
	for id := range u.requests {
		if len(seen.IDs) == limit {
			break
		}
		seen.IDs = append(seen.IDs, *id)
	}
	return seen
}
