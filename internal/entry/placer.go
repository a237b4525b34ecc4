package entry

import (
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/placement"
)

// placer guards the selector, which all requests of the entry share. It passes each
// new state of the directory to the selector once.
type placer struct {
	directory func() []membership.Announcement

	mu       sync.Mutex
	selector *placement.Selector
	observed []membership.Announcement
}

func newPlacer(options placement.SelectorOptions, directory func() []membership.Announcement) *placer {
	return &placer{
		directory: directory,
		selector:  placement.NewSelector(placement.NewPicker(), options),
	}
}

// pick chooses a server and counts the request as dispatched to it.
func (p *placer) pick(request placement.Request) (placement.Server, bool) {
	announced := p.directory()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if !sameSlice(announced, p.observed) {
		p.selector.Observe(announced, now)
		p.observed = announced
	}
	server, ok := p.selector.Pick(request, now)
	if ok {
		p.selector.Dispatched(server.Server, request.Ref, now)
		p.selector.DispatchedPrompt(server.Server, request.Prefix)
	}
	return server, ok
}

// finished records the end of a request that pick dispatched; ran is 0 if it did
// not run.
func (p *placer) finished(server string, ref catalogue.Ref, ran time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.selector.Finished(server, ref, ran, time.Now())
}

// declined records that the server had no free slot for a request that pick
// dispatched.
func (p *placer) declined(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.selector.Declined(server, time.Now())
}

// sameSlice reports whether a and b are the same slice, and therefore the same
// state of the directory.
func sameSlice(a, b []membership.Announcement) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}
