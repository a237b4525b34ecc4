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

// slotAgent is an agent that declines a request if it has no free slot and the
// request may be declined.
type slotAgent struct {
	full           bool
	declined, runs atomic.Int64
}

func (a *slotAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if a.full && r.Header.Get(wire.HeaderMayDecline) != "" {
		a.declined.Add(1)
		w.Header().Set(outcome.Header, outcome.NotRun.String())
		w.Header().Set(wire.HeaderDeclined, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a.runs.Add(1)
	w.Header().Set(outcome.Header, outcome.Answered.String())
	w.Header().Set(wire.HeaderServedModel, model)
	_, _ = io.WriteString(w, "whole")
}

// Slots are scarce and load reports lag, so servers that look free have no slot. A
// call must be sent on to a server that has one, and if none has, must wait instead
// of being refused.
func TestDeclinedCallsTryOtherServersThenWait(t *testing.T) {
	cases := []struct {
		name string
		full []bool
	}{
		{"one server has a slot", []bool{true, true, false}},
		{"no server has a slot", []bool{true, true, true}},
		{"single full server", []bool{true}},
		{"more full servers than declines", []bool{true, true, true, true, true, true, true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			agents := make([]*slotAgent, len(c.full))
			var servers []membership.Announcement
			for i, full := range c.full {
				agents[i] = &slotAgent{full: full}
				server := httptest.NewServer(agents[i])
				t.Cleanup(server.Close)
				servers = append(servers, engineServer(fmt.Sprintf("s%d", i), strings.TrimPrefix(server.URL, "http://")))
			}
			_, server := newEntry(t, entry.Options{}, newSource(servers...))
			for range 5 {
				got := call(t, server, http.MethodPost, "/v1/completions", "", `{"model":"`+model+`","prompt":"x"}`)
				if got.outcome != outcome.Answered || got.body != "whole" {
					t.Fatalf("got outcome %v and body %s, want a complete answer", got.outcome, got.body)
				}
			}
			runs, maxDeclined := int64(0), int64(0)
			for _, a := range agents {
				runs += a.runs.Load()
				maxDeclined = max(maxDeclined, a.declined.Load())
			}
			if runs != 5 || maxDeclined > 5 {
				t.Errorf("got %d runs and up to %d declines by one server, want 5 runs and at most 5 declines", runs, maxDeclined)
			}
		})
	}
}
