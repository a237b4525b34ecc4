package gateway

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/upstream"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// BenchmarkChoose is one choice among 117 engines with ten adapters each.
func BenchmarkChoose(b *testing.B) {
	m := mesh.New(mesh.Options{Self: mesh.Process{Address: "127.0.0.1:1", Entry: true}}, mesh.NewDocuments(decodeRoute, zap.NewNop()), zap.NewNop())
	s := newServers(Options{DataCentre: "d"}, m, upstream.NewPool(time.Second, upstream.NewMemory(0)), zap.NewNop())
	var list []*server
	for i := range 117 {
		state := wire.EngineState{Known: true, HeldChange: 1, Batch: 12, MemoryTokens: 60_000, Running: i % 12, DelayMillis: []int64{0, 20, 40}, Models: []string{"base"}}
		for j := range 10 {
			state.Held = append(state.Held, fmt.Sprintf("base/a%d", 10*i+j))
		}
		v := newServer(roster.Entry{Server: roster.Server{ID: fmt.Sprint("i-", i), DataCentre: "d"}}, &agentClient{})
		v.agent.setState(state)
		list = append(list, v)
	}
	s.byService = map[string][]*server{"llm": list}
	service := &route.Service{Name: "llm", Engine: &route.Engine{}}
	b.ReportAllocs()
	for b.Loop() {
		s.choose(b.Context(), service, dispatch.Request{Adapter: "base/a7", DataCentre: "d", Target: 800 * time.Millisecond}, "base", &lineage{})
	}
}
