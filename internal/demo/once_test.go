package demo_test

import (
	"net/http"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/demo"
)

// Guards against a deposit that is taken twice when it is submitted twice with
// the same idempotency key. The second call must return the first one's receipt
// without reaching the service.
func TestRepeatedIdempotencyKeyRunsOnce(t *testing.T) {
	d := startDemo(t)
	deposit := func(body string) (*http.Response, string) {
		return postWithKey(t, d, "/services/"+demo.ServiceName+"/deposits/hall", demo.CallerKey, "hall-7", body)
	}
	first, receipt := deposit(`{"amount":50}`)
	second, secondReceipt := deposit(`{"amount":50}`)
	if first.StatusCode != http.StatusOK || secondReceipt != receipt || second.Header.Get("Idempotent-Replayed") != "true" {
		t.Errorf("got %s %q, then %s %q, want the same receipt twice, the second one replayed", first.Status, receipt, second.Status, secondReceipt)
	}
	other, body := deposit(`{"amount":60}`)
	if other.StatusCode != http.StatusUnprocessableEntity || other.Header.Get(outcome.Header) != outcome.NotRun.String() {
		t.Errorf("different deposit with the same key: got %s %s, want 422 and the outcome not-run", other.Status, body)
	}
	if calls := d.Service.Calls(); len(calls) != 1 {
		t.Errorf("the service ran %v, want 1 call", calls)
	}
}
