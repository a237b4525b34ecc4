package entry_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/entry"
)

// An entry is disconnected from the control instances for longer than its lease. A
// contract may have been retired meanwhile, so the entry must refuse requests,
// report that nothing was run, and report not ready, so that the load balancer uses
// other entries.
func TestUnconfirmedEntryRefusesRequests(t *testing.T) {
	from := newSource()
	e, server := newEntry(t, entry.Options{MaxBodyBytes: 1 << 20}, from)
	for _, kind := range []freshness.Kind{freshness.CutOff, ""} {
		from.kind = kind
		got := call(t, server, http.MethodPost, "/v1/completions", "", `{"model":"`+model+`"}`)
		if got.status != http.StatusServiceUnavailable || got.outcome != outcome.NotRun || got.header.Get("Retry-After") != "1" {
			t.Errorf("freshness %q: got %+v, want status 503, not-run and Retry-After 1", kind, got)
		}
		if !strings.Contains(got.body, "configuration_unconfirmed") {
			t.Errorf("freshness %q: got body %s, want the code configuration_unconfirmed", kind, got.body)
		}
		if e.Ready() {
			t.Errorf("freshness %q: the entry reports ready", kind)
		}
	}
	for _, kind := range []freshness.Kind{freshness.Fresh, freshness.Unchangeable} {
		from.kind = kind
		got := call(t, server, http.MethodPost, "/v1/completions", "", `{"model":"`+model+`"}`)
		if strings.Contains(got.body, "configuration_unconfirmed") || !e.Ready() {
			t.Errorf("freshness %q: got %+v, want the entry ready and the request admitted", kind, got)
		}
	}
}
