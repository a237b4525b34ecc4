package upstream

import (
	"context"
	"fmt"
	"strings"
	"testing"
)

// An engine's report grows beyond what its reader holds. Cut at the bound it
// would pass for the whole report, and whatever stands behind the cut for not
// being there.
func TestAnAnswerBeyondItsBoundIsNotWhole(t *testing.T) {
	for limit, fits := range map[int64]bool{4: false, 5: true, 6: true} {
		target, _ := script(t, whole)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_, _, body, err := NewPool(patience).CallWhole(ctx, target, ask("r1"), limit)
		if (err == nil) != fits || fits && string(body) != "hello" || !fits && body != nil {
			t.Errorf("of at most %d bytes: got %q, %v", limit, body, err)
		}
	}
}

// A late answer to another request is larger than what is passed over of it,
// and holds what looks like an answer to this one: a document that shows the
// protocol, or one made to. What stands within a body is nobody's answer.
func TestTheBodyOfAnotherAnswerIsNotReadAsThisOne(t *testing.T) {
	body := strings.Repeat("x", maxStrayBytes) + whole
	late := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	target, _ := script(t, late+strings.Replace(whole, "hello", "right", 1))
	if status, body, err := call(t, NewPool(patience), target, "r1"); err == nil && body != "right" {
		t.Errorf("got %d, %q as the answer", status, body)
	}
}
