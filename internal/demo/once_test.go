package demo_test

import (
	"net/http"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/demo"
)

// A bookings clerk clicks twice on one deposit. The second click must show the
// first one's receipt and take no money.
func TestADepositWithAKeyIsTakenOnce(t *testing.T) {
	d := startDemo(t)
	deposit := func(body string) (*http.Response, string) {
		return postOnce(t, d, "/services/"+demo.ServiceName+"/deposits/hall", demo.CallerKey, "hall-7", body)
	}
	first, receipt := deposit(`{"amount":50}`)
	second, again := deposit(`{"amount":50}`)
	if first.StatusCode != http.StatusOK || again != receipt || second.Header.Get("Idempotent-Replayed") != "true" {
		t.Errorf("%s %q, then %s %q", first.Status, receipt, second.Status, again)
	}
	other, body := deposit(`{"amount":60}`)
	if other.StatusCode != http.StatusUnprocessableEntity || other.Header.Get(outcome.Header) != outcome.NotRun.String() {
		t.Errorf("another deposit under the key: %s %s", other.Status, body)
	}
	if calls := d.Service.Calls(); len(calls) != 1 {
		t.Errorf("the desk ran %v", calls)
	}
}
