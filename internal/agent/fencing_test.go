package agent_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/agent"
	"github.com/rosemarypass/rosemarypass/internal/standin/engine"
)

// fencer issues fencing numbers as the replicated log does.
type fencer struct{ last atomic.Uint64 }

func (f *fencer) Fence(context.Context, string, string) (uint64, error) { return f.last.Add(1), nil }

// An agent was replaced, but its process still runs behind a partition and gets
// requests from an entry that does not know of the replacement. Its loads would
// evict adapters that callers of the new agent use.
func TestReplacedAgentLoadsNothingAndLeaves(t *testing.T) {
	b := newBackend(t, engine.Options{Slots: 2, TokenTime: time.Millisecond})
	var numbers fencer
	start := func() string {
		a := agent.New(agent.Options{
			Server: "floor-assist-1", BaseModel: "base", Engine: b.engineURL, Fencer: &numbers,
			Slots: 2, Queue: 32, LoadTimeout: time.Second, AnnounceInterval: 20 * time.Millisecond, ControlPeers: []string{refusedAddress},
		}, &http.Client{}, zap.NewNop())
		server := httptest.NewServer(a.Handler())
		t.Cleanup(server.Close)
		go a.Run(t.Context())
		return server.URL
	}
	old := start()
	b.mustAnswer(t, old, "a@1")
	replacement := start()
	b.mustAnswer(t, replacement, "b@1")
	for range 2 {
		if got := complete(t.Context(), old, "c@1", "2"); got.outcome != outcome.NotRun.String() {
			t.Errorf("replaced agent answered %+v, want not-run", got)
		}
	}
	if got := complete(t.Context(), old, "a@1", "2"); got.outcome != outcome.NotRun.String() {
		t.Errorf("replaced agent still accepts requests: %+v", got)
	}
	if loaded := b.engine.Loaded(); slices.Contains(loaded, "c@1") || b.engine.EvictedInUse() != 0 {
		t.Errorf("engine holds %v, want neither c@1 nor an eviction of an adapter in use", loaded)
	}
	b.mustAnswer(t, replacement, "b@1")
}
