package mesh

import (
	"testing"

	"golang.org/x/time/rate"

	"github.com/rosemarypass/rosemarypass/coord/document"
)

// Guards against a process that never gets a large configuration over a slow link, because each pull ends while its answer arrives and begins anew.
func TestLargeConfigurationIsPulledOverSlowLink(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.links = map[int]rate.Limit{0: slowLink}
	for i := range f.nodes {
		f.start(i, true)
	}
	f.put(0, 1)
	put := document.Command{Put: &document.Put{Version: 2, Body: changeOf(2, 3<<20)}}
	eventually(t, func() bool { return f.nodes[0].Propose(t.Context(), put) == nil })
	eventually(t, func() bool { return f.nodes[1].Documents().Current().State.Version == 2 })
}
