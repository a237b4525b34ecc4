package gateway

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/upstream"
)

// Guards against a request that reads what a server announces while it is replaced: half of one announcement and half of the next.
func TestAnnouncementIsReplacedAsAWholeWhileRequestsReadIt(t *testing.T) {
	documents := mesh.NewDocuments(decodeRoute, zap.NewNop())
	documents.Apply(document.State{Index: 1, Version: 1, Body: []byte("{}")}, "test")
	m := mesh.New(mesh.Options{Self: mesh.Process{Address: "127.0.0.1:1", Entry: true}}, documents, zap.NewNop())
	s := newServers(Options{DataCentre: "d"}, m, upstream.NewPool(time.Second, upstream.NewMemory(0)), zap.NewNop())
	announce := func(n int) {
		announced := roster.Server{ID: "s", Born: 1, Sequence: int64(n + 1), Service: "desk", Address: "127.0.0.1:1", DataCentre: "d", Slots: n + 1, Version: fmt.Sprint("v", n%10)}
		if err := m.Announce(t.Context(), announced); err != nil {
			t.Error(err)
		}
		s.start(t.Context())
	}
	announce(0)
	var announcer sync.WaitGroup
	announcer.Go(func() {
		for n := range 500 {
			announce(n + 1)
		}
	})
	chosen := 0
	for range 2000 {
		if v, _ := s.choose(t.Context(), &route.Service{Name: "desk"}, dispatch.Request{}, "", &lineage{}); v != nil && v.entry().ID == "s" && len(v.entry().Version) == 2 {
			chosen++
		}
	}
	announcer.Wait()
	if chosen == 0 {
		t.Error("the server was never chosen")
	}
}
