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

// numbers issues fencing numbers as the replicated log does.
type numbers struct{ last atomic.Uint64 }

func (n *numbers) Fence(context.Context, string, string) (uint64, error) { return n.last.Add(1), nil }

// An agent was replaced, but its process still runs behind a partition and gets
// requests from an entry that has not heard. Its loads would push out adapters
// that the new agent's callers are using.
func TestAReplacedAgentLoadsNothingAndLeaves(t *testing.T) {
	b := newBench(t, engine.Options{Slots: 2, TokenTime: time.Millisecond})
	var issued numbers
	start := func() string {
		a := agent.New(agent.Options{
			Server: "floor-assist-1", BaseModel: "base", Engine: b.engineURL, Fencer: &issued,
			Slots: 2, Queue: 32, LoadTimeout: time.Second, AnnounceInterval: 20 * time.Millisecond, ControlPeers: []string{refusing},
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
		if got := ask(t.Context(), old, "c@1", "2"); got.said != outcome.NotRun.String() {
			t.Errorf("the replaced agent: %+v", got)
		}
	}
	if got := ask(t.Context(), old, "a@1", "2"); got.said != outcome.NotRun.String() {
		t.Errorf("the replaced agent still takes work: %+v", got)
	}
	if loaded := b.engine.Loaded(); slices.Contains(loaded, "c@1") || b.engine.EvictedInUse() != 0 {
		t.Errorf("the engine holds %v", loaded)
	}
	b.mustAnswer(t, replacement, "b@1")
}
