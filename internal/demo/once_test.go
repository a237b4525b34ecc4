package demo_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/demo"
)

// A bookings clerk clicks twice on one deposit. The second click must show the
// first one's receipt and take no money.
func TestADepositWithAKeyIsTakenOnce(t *testing.T) {
	d := startDemo(t)
	deposit := func(body string) (*http.Response, string) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+d.Entry+"/services/"+demo.ServiceName+"/deposits/hall", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+demo.CallerKey)
		request.Header.Set("Idempotency-Key", "hall-7")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		return response, string(data)
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
