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

// A conversation's first turn ran on one of several engines that have the
// adapter, not the one that its adapter prefers. Its next turn would have its
// whole prompt computed again elsewhere, and the caller would wait for that.
func TestNextTurnGoesWhereTheLastOneRan(t *testing.T) {
	ref, _ := catalogue.ParseRef(model)
	names := []string{"a", "b", "c", "d"}
	var ran atomic.Value
	engines := make([]membership.Announcement, len(names))
	for i, name := range names {
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			ran.Store(name)
			_, _ = io.WriteString(w, `{"model":"`+model+`"}`)
			// In chunks: the caller sees the end only after the entry is done.
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
			t.Fatalf("answered %d: %s", got.status, got.body)
		}
		return ran.Load().(string)
	}
	home := turn("short")
	// Away from home: its batch is full.
	others := append([]membership.Announcement(nil), engines...)
	for i := range others {
		if others[i].Server == home {
			others[i].Sequence, others[i].Load.Running, others[i].Load.Waiting = 1, 16, 16
		}
	}
	from.servers = others
	conversation := strings.Repeat("x", 4096)
	first := turn(conversation)
	if first == "" || first == home {
		t.Fatalf("the first turn ran on %q, home is %q", first, home)
	}
	freed := append([]membership.Announcement(nil), engines...)
	for i := range freed {
		freed[i].Sequence = 2
	}
	from.servers = freed
	if next := turn(conversation + " and more"); next != first {
		t.Errorf("the next turn ran on %q, the first on %q", next, first)
	}
	if other := turn(strings.Repeat("y", 4096)); other != home {
		t.Errorf("another conversation ran on %q, home is %q", other, home)
	}
}
