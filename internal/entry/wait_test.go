package entry_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Every server is full. The refusal must name the clause that ended the wait and a
// retry time, and no server may receive a longer wait than remains.
func TestWaitAtFullServersIsRefusedWithClause(t *testing.T) {
	var last, attempts atomic.Int64
	last.Store(1 << 40)
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		left, err := strconv.ParseInt(r.Header.Get(wire.HeaderMaxWait), 10, 64)
		if err != nil || left > last.Swap(left) {
			t.Errorf("a server received the remaining wait %q, want a number that does not increase", r.Header.Get(wire.HeaderMaxWait))
		}
		w.Header().Set(outcome.Header, outcome.NotRun.String())
		w.Header().Set(wire.HeaderClause, "maxWait")
		w.Header().Set("Retry-After", strconv.FormatInt(7-attempts.Add(1), 10))
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	defer full.Close()
	address := strings.TrimPrefix(full.URL, "http://")
	_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", address), engineServer("floor-2", address)))
	got := call(t, server, http.MethodPost, "/v1/completions", "", completion("x", 3, false))
	if got.outcome != outcome.NotRun || !strings.Contains(got.body, `"code":"limit_reached","param":"maxWait"`) {
		t.Errorf("got outcome %v and body %s, want not-run with the clause maxWait", got.outcome, got.body)
	}
	if want := strconv.FormatInt(7-attempts.Load(), 10); attempts.Load() < 2 || got.header.Get("Retry-After") != want {
		t.Errorf("after %d servers Retry-After is %q, want %q", attempts.Load(), got.header.Get("Retry-After"), want)
	}
}
