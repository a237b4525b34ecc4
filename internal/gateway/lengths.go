package gateway

import (
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
)

// lengths remembers how long the streams of each route take.
type lengths struct {
	mu      sync.Mutex
	byRoute map[string]*dispatch.Usual
}

// maxLengths bounds the routes that are remembered: beyond it all are learned anew.
const maxLengths = 512

func newLengths() *lengths { return &lengths{byRoute: make(map[string]*dispatch.Usual)} }

func (l *lengths) note(route string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usual := l.byRoute[route]
	if usual == nil {
		if len(l.byRoute) >= maxLengths {
			clear(l.byRoute)
		}
		usual = &dispatch.Usual{}
		l.byRoute[route] = usual
	}
	usual.Add(took)
}

// most is how long nearly all streams of a route take at most; 0 while unknown.
func (l *lengths) most(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if usual := l.byRoute[route]; usual != nil {
		return usual.Most()
	}
	return 0
}
