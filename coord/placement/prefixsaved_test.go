package placement

import (
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/prefixcache"
)

// The server that holds the prefix attracts the prompt until waiting there, or
// loading the adapter there, costs more than computing the prefix again.
func TestPrefixIsPreferredUntilWaitIsLonger(t *testing.T) {
	prefix := make([]prefixcache.Block, 10)
	for i := range prefix {
		prefix[i] = prefixcache.Block(i + 1)
	}
	for _, c := range []struct {
		name string
		load membership.Load
		want string
	}{
		{"equal load", idle(adapter(1)), "holder"},
		{"half-full batch", membership.Load{Obtainable: 8, Running: 8, Resident: idle(adapter(1)).Resident}, "holder"},
		{"queue of a quarter of a batch", membership.Load{Obtainable: 8, Running: 16, Waiting: 4, Resident: idle(adapter(1)).Resident}, "other"},
		{"adapter evicted", idle(), "other"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := selector(SelectorOptions{}, engine("holder", c.load), engine("other", idle(adapter(1))))
			s.DispatchedPrompt("holder", prefix)
			request := newRequest(1)
			request.Prefix = prefix
			if got, _ := s.Pick(request, start); got.Server != c.want {
				t.Errorf("picked the wrong server: %s", got.Server)
			}
		})
	}
}

func TestPrefixSavedOnActiveServersOnly(t *testing.T) {
	for _, c := range []struct {
		active, rank int
		blocks, want float64
	}{{0, 5, 2, -2 * blockTime}, {6, 5, 2, -2 * blockTime}, {5, 5, 2, 0}, {0, 5, 60, -prefixCap}} {
		candidate := Candidate{Server: &Server{Rank: c.rank}, CachedBlocks: c.blocks}
		if got := PrefixSaved(&candidate, &Estimates{Active: c.active}); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
