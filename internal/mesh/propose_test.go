package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
)

// Guards against an operator that gets no answer for a change that is in force, because each try goes through the log again while that is slow.
func TestChangeInForceIsAcknowledgedWithoutLog(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.configure = func(m *Mesh) { m.quorumWait = quorumWait }
	for i := range f.nodes {
		f.start(i, true)
	}
	f.put(3, 7)
	announce := document.Command{AdapterVersion: &document.AdapterVersion{Adapter: "m/a", Version: 4}}
	eventually(t, func() bool { return f.nodes[3].Propose(t.Context(), announce) == nil })
	for i := range f.nodes {
		eventually(t, func() bool {
			state := f.nodes[i].Documents().Current().State
			return state.Version == 7 && state.Adapters["m/a"] == 4
		})
	}
	// Without two of three members nothing can be committed.
	f.stop(1)
	f.stop(2)
	for _, i := range []int{0, 3} {
		for name, command := range map[string]document.Command{
			"the same change":    {Put: &document.Put{Version: 7, Body: json.RawMessage(`{"Version":7}`)}},
			"an older change":    {Put: &document.Put{Version: 6, Body: json.RawMessage(`{"Version":6}`)}},
			"the same version":   announce,
			"an earlier version": {AdapterVersion: &document.AdapterVersion{Adapter: "m/a", Version: 3}},
		} {
			if err := f.nodes[i].Propose(t.Context(), command); err != nil {
				t.Errorf("process %d does not acknowledge %s: %v", i, name, err)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		if f.nodes[i].Propose(ctx, document.Command{Put: &document.Put{Version: 8, Body: json.RawMessage(`{"Version":8}`)}}) == nil {
			t.Errorf("process %d acknowledges a change that nothing can commit", i)
		}
	}
}

// Guards against an operator that gets no answer for a change that comes into force while the answer of the log is lost.
func TestChangeThatComesIntoForceIsAcknowledged(t *testing.T) {
	f := newFleet(t, 1, 1)
	answered := make(chan struct{})
	f.handlers = func(m *Mesh, handlers map[string]rpc.Handler) {
		propose, ok := handlers[methodPropose]
		if !ok {
			return
		}
		handlers[methodPropose] = func(ctx context.Context, params json.RawMessage) (any, error) {
			result, err := propose(ctx, params)
			<-answered
			return result, err
		}
	}
	f.configure = func(m *Mesh) { m.forwardTimeout, m.quorumWait = time.Minute, quorumWait }
	for i := range f.nodes {
		f.start(i, true)
	}
	t.Cleanup(func() { close(answered) })
	f.put(0, 1)
	eventually(t, func() bool { return f.nodes[1].Documents().Current().State.Version == 1 })
	for version := uint64(2); version < 5; version++ {
		body := fmt.Sprintf(`{"Version":%d}`, version)
		if err := f.nodes[1].Propose(t.Context(), document.Command{Put: &document.Put{Version: version, Body: []byte(body)}}); err != nil {
			t.Errorf("version %d is not acknowledged, in force is %d: %v", version, f.nodes[1].Documents().Current().State.Version, err)
		}
	}
}
