package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// slotGate is an agent that declines while it may, when it has no slot.
type slotGate struct {
	full           bool
	declined, runs atomic.Int64
}

func (g *slotGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.full && r.Header.Get(wire.HeaderMayDecline) != "" {
		g.declined.Add(1)
		w.Header().Set(outcome.Header, outcome.NotRun.String())
		w.Header().Set(wire.HeaderDeclined, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.runs.Add(1)
	w.Header().Set(outcome.Header, outcome.Answered.String())
	w.Header().Set(wire.HeaderRan, model)
	_, _ = io.WriteString(w, "whole")
}

// Slots are scarce and reports lag: servers that look free have none to give. A
// caller must be sent on to one that has, and when none has, must wait rather
// than be refused.
func TestDeclinedCallsGoOnAndAtLastWait(t *testing.T) {
	cases := []struct {
		name string
		full []bool
	}{
		{"one has a slot", []bool{true, true, false}},
		{"none has a slot", []bool{true, true, true}},
		{"one server, full", []bool{true}},
		{"more full servers than declines", []bool{true, true, true, true, true, true, true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			gates := make([]*slotGate, len(c.full))
			var servers []membership.Announcement
			for i, full := range c.full {
				gates[i] = &slotGate{full: full}
				server := httptest.NewServer(gates[i])
				t.Cleanup(server.Close)
				servers = append(servers, engineServer(fmt.Sprintf("s%d", i), strings.TrimPrefix(server.URL, "http://")))
			}
			_, server := newEntry(t, entry.Options{}, newSource(servers...))
			for range 5 {
				got := call(t, server, http.MethodPost, "/v1/completions", "", `{"model":"`+model+`","prompt":"x"}`)
				if got.outcome != outcome.Answered || got.body != "whole" {
					t.Fatalf("told %v: %s", got.outcome, got.body)
				}
			}
			runs, most := int64(0), int64(0)
			for _, g := range gates {
				runs += g.runs.Load()
				most = max(most, g.declined.Load())
			}
			if runs != 5 || most > 5 {
				t.Errorf("%d runs of 5 calls; one server declined %d times", runs, most)
			}
		})
	}
}
