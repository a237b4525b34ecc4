package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/internal/entry"
)

// The first turn of a conversation ran on one of several engines that have the
// adapter loaded, but not on the preferred engine of the adapter. If the next turn
// ran elsewhere, its complete prompt would be computed again while the caller
// waits.
func TestNextTurnRunsWherePreviousTurnRan(t *testing.T) {
	ref, _ := catalogue.ParseRef(model)
	names := []string{"a", "b", "c", "d"}
	var ran atomic.Value
	engines := make([]membership.Announcement, len(names))
	for i, name := range names {
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			ran.Store(name)
			_, _ = io.WriteString(w, `{"model":"`+model+`"}`)
			// The answer is chunked, so the caller sees its end only after the
			// entry is done.
			_ = http.NewResponseController(w).Flush()
		}))
		t.Cleanup(upstream.Close)
		engines[i] = engineServer(name, strings.TrimPrefix(upstream.URL, "http://"))
		engines[i].Agent = false
		engines[i].Load.Resident = []catalogue.Ref{ref}
	}
	from := newSource(engines...)
	_, server := newEntry(t, entry.Options{}, from)
	turn := func(prompt string) string {
		ran.Store("")
		if got := call(t, server, http.MethodPost, "/v1/completions", "", `{"model":"`+model+`","prompt":"`+prompt+`"}`); got.status != http.StatusOK {
			t.Fatalf("got status %d and body %s, want 200", got.status, got.body)
		}
		return ran.Load().(string)
	}
	preferred := turn("short")
	// The preferred engine has a full batch, so the turn runs elsewhere.
	preferredBusy := append([]membership.Announcement(nil), engines...)
	for i := range preferredBusy {
		if preferredBusy[i].Server == preferred {
			preferredBusy[i].Sequence, preferredBusy[i].Load.Running, preferredBusy[i].Load.Waiting = 1, 16, 16
		}
	}
	from.servers = preferredBusy
	conversation := strings.Repeat("x", 4096)
	first := turn(conversation)
	if first == "" || first == preferred {
		t.Fatalf("the first turn ran on %q, want another engine than the preferred %q", first, preferred)
	}
	allFree := append([]membership.Announcement(nil), engines...)
	for i := range allFree {
		allFree[i].Sequence = 2
	}
	from.servers = allFree
	if next := turn(conversation + " and more"); next != first {
		t.Errorf("the next turn ran on %q, want %q as the first turn", next, first)
	}
	if other := turn(strings.Repeat("y", 4096)); other != preferred {
		t.Errorf("another conversation ran on %q, want the preferred engine %q", other, preferred)
	}
}
