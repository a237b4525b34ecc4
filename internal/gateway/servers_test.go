package gateway

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/upstream"
)

// Guards against requests that are sent straight to an engine whose agent is gone, and that begin on a version of their adapter which was replaced long before.
func TestEngineWithoutAgentStartsNoOutdatedVersion(t *testing.T) {
	const grace = 2 * time.Second
	for _, test := range []struct {
		name  string
		held  []string
		named int64
		// age is how long ago the version was named; since is false where it was named before the entry started.
		age   time.Duration
		since bool
		want  bool
	}{
		{"no version was named", []string{"m/a@1"}, 0, 0, true, true},
		{"the newest version", []string{"m/b@1", "m/a@2"}, 2, time.Minute, true, true},
		{"the version before, within the grace period", []string{"m/a@1"}, 2, grace - time.Millisecond, true, true},
		{"the version before, past the grace period", []string{"m/a@1"}, 2, grace, true, false},
		{"the version before, named before the entry started", []string{"m/a@1"}, 2, 0, false, false},
		{"a version that cannot be read", []string{"m/a@new"}, 2, grace, true, false},
		{"another adapter", []string{"m/ab@2"}, 2, 0, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				decode := func([]byte) (*route.Document, error) {
					return &route.Document{Services: []route.Service{{Name: "llm", Engine: &route.Engine{}}}}, nil
				}
				documents := mesh.NewDocuments(decode, zap.NewNop())
				named := document.State{Index: 2, Version: 1, Body: []byte("{}"), Adapters: map[string]int64{"m/a": test.named}}
				if test.since {
					documents.Apply(document.State{Index: 1, Version: 1, Body: []byte("{}")}, "test")
					documents.Confirm()
					documents.Apply(named, "test")
				} else {
					documents.Apply(named, "test")
					documents.Confirm()
				}
				m := mesh.New(mesh.Options{Self: mesh.Process{Address: "127.0.0.1:1", Entry: true}}, documents, zap.NewNop())
				s := newServers(Options{VersionGrace: grace}, m, upstream.NewPool(time.Second, upstream.NewMemory(0)), zap.NewNop())
				engine := roster.Server{ID: "e", Born: 1, Sequence: 1, Service: "llm", Address: "127.0.0.1:1", Slots: 4, Models: []string{"m"}, Adapters: test.held}
				if err := m.Announce(t.Context(), engine); err != nil {
					t.Fatal(err)
				}
				time.Sleep(test.age)
				v := newServer(roster.Entry{Server: engine}, &agentClient{})
				s.byService, s.change = map[string][]*server{"llm": {v}}, m.RosterChange()
				chosen, _ := s.choose(t.Context(), &route.Service{Name: "llm", Engine: &route.Engine{}}, dispatch.Request{Adapter: "m/a"}, "m", &lineage{})
				if got := chosen != nil; got != test.want {
					t.Errorf("the engine is chosen: %v, want %v", got, test.want)
				}
				// The agent may have gone since the choice.
				if got := s.mayStartUnasked(v, "m/a"); got != test.want {
					t.Errorf("a request may start without the agent: %v, want %v", got, test.want)
				}
				if !s.mayStartUnasked(v, "") {
					t.Error("a request without an adapter may not start without the agent")
				}
			})
		})
	}
}

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
