package entry

import (
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/placement"
)

// placer guards the selector, which all requests of the entry share, and shows
// it each new state of the directory once.
type placer struct {
	directory func() []membership.Announcement

	mu       sync.Mutex
	selector *placement.Selector
	seen     []membership.Announcement
}

func newPlacer(options placement.SelectorOptions, directory func() []membership.Announcement) *placer {
	return &placer{
		directory: directory,
		selector:  placement.NewSelector(placement.NewPicker(), options),
	}
}

// pick chooses a server and counts the request as sent there.
func (p *placer) pick(request placement.Request) (placement.Server, bool) {
	announced := p.directory()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if !sameSlice(announced, p.seen) {
		p.selector.Observe(announced, now)
		p.seen = announced
	}
	server, ok := p.selector.Pick(request, now)
	if ok {
		p.selector.Dispatched(server.Server, request.Ref, now)
		p.selector.DispatchedPrompt(server.Server, request.Prefix)
	}
	return server, ok
}

// finished ends a request that pick sent; ran is 0 when it did not run.
func (p *placer) finished(server string, ref catalogue.Ref, ran time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.selector.Finished(server, ref, ran, time.Now())
}

// declined ends a request that pick sent and the server had no slot for.
func (p *placer) declined(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.selector.Declined(server, time.Now())
}

// sameSlice tells whether two directory states are one and the same.
func sameSlice(a, b []membership.Announcement) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}
