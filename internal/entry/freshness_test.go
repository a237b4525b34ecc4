package entry_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/entry"
)

// An entry is cut off from control for longer than its lease. The contract may
// have been retired meanwhile, so that it must send callers to other entries,
// and the balancer with them, and say that nothing was run.
func TestEntryThatCannotConfirmItsContractsRefuses(t *testing.T) {
	from := newSource()
	e, server := newEntry(t, entry.Options{MaxBodyBytes: 1 << 20}, from)
	for _, kind := range []freshness.Kind{freshness.CutOff, ""} {
		from.kind = kind
		got := call(t, server, http.MethodPost, "/v1/completions", "", `{"model":"`+model+`"}`)
		if got.status != http.StatusServiceUnavailable || got.outcome != outcome.NotRun || got.header.Get("Retry-After") != "1" {
			t.Errorf("%q: %+v", kind, got)
		}
		if !strings.Contains(got.body, "configuration_unconfirmed") {
			t.Errorf("%q: %s", kind, got.body)
		}
		if e.Ready() {
			t.Errorf("%q: the entry says that it is ready", kind)
		}
	}
	for _, kind := range []freshness.Kind{freshness.Fresh, freshness.Unchangeable} {
		from.kind = kind
		got := call(t, server, http.MethodPost, "/v1/completions", "", `{"model":"`+model+`"}`)
		if strings.Contains(got.body, "configuration_unconfirmed") || !e.Ready() {
			t.Errorf("%q: %+v", kind, got)
		}
	}
}
