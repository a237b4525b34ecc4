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

// Every server is full. The caller learns which clause ends its wait, and that
// it may come back; no server is told that it has more time than is left.
func TestWaitAtFullServersIsRefusedByItsClause(t *testing.T) {
	var last, asked atomic.Int64
	last.Store(1 << 40)
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		left, err := strconv.ParseInt(r.Header.Get(wire.HeaderMaxWait), 10, 64)
		if err != nil || left > last.Swap(left) {
			t.Errorf("a server was told a wait of %q", r.Header.Get(wire.HeaderMaxWait))
		}
		w.Header().Set(outcome.Header, outcome.NotRun.String())
		w.Header().Set(wire.HeaderClause, "maxWait")
		w.Header().Set("Retry-After", strconv.FormatInt(7-asked.Add(1), 10))
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	defer full.Close()
	address := strings.TrimPrefix(full.URL, "http://")
	_, server := newEntry(t, entry.Options{}, newSource(engineServer("floor-1", address), engineServer("floor-2", address)))
	got := call(t, server, http.MethodPost, "/v1/completions", "", completion("x", 3, false))
	if got.outcome != outcome.NotRun || !strings.Contains(got.body, `"code":"limit_reached","param":"maxWait"`) {
		t.Errorf("told %v: %s", got.outcome, got.body)
	}
	if want := strconv.FormatInt(7-asked.Load(), 10); asked.Load() < 2 || got.header.Get("Retry-After") != want {
		t.Errorf("after %d servers the caller is to come back in %q s, want %q", asked.Load(), got.header.Get("Retry-After"), want)
	}
}
