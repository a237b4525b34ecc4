package demo_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/demo"
	"github.com/rosemarypass/rosemarypass/internal/operator"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// An operator drains the only server while callers keep asking. Every refusal
// must say that the request was not run, and the server must get work again
// once it is started.
func TestDrainClosesTheGateAndStartOpensIt(t *testing.T) {
	t.Run("plaintext", func(t *testing.T) { drainAndStart(t, startDemo(t)) })
	t.Run("with certificates", func(t *testing.T) {
		failed := telemetry.Counter("rpc_handshakes_failed")
		before := failed.Value()
		drainAndStart(t, startSecure(t))
		if now := failed.Value(); now != before {
			t.Errorf("%d connections of our own processes were refused", now-before)
		}
	})
}

func drainAndStart(t *testing.T, d *demo.Demo) {
	t.Helper()
	client := operator.NewClient(operator.Options{URLs: []string{d.OperatorURL()}, Key: demo.OperatorKey, HTTP: d.OperatorClient()})
	ask := func() (int, string) {
		response, body := post(t, d, "/v1/completions", demo.CallerKey, `{"model":"`+demo.Adapters[0]+`","prompt":"x","max_tokens":1}`)
		if response.StatusCode != http.StatusOK && response.Header.Get(outcome.Header) != outcome.NotRun.String() {
			t.Errorf("%s %s", response.Status, body)
		}
		return response.StatusCode, body
	}
	want := func(wanted state.Wanted) {
		current, err := client.Server(t.Context(), "floor-assist-1")
		if err != nil {
			t.Fatal(err)
		}
		current.Wanted.Wanted = wanted
		result, err := client.ChangeAs(t.Context(), "", http.MethodPut, "/admin/v1/servers/floor-assist-1", current.Wanted)
		if err != nil {
			t.Fatal(err)
		}
		report, err := client.InForce(t.Context(), result.Index, 10*time.Second)
		if err != nil || !report.Done {
			t.Fatalf("%+v, %v", report, err)
		}
	}
	want(state.WantedDraining)
	if status, body := ask(); status != http.StatusServiceUnavailable || !strings.Contains(body, "no_server") {
		t.Errorf("while drained: %d %s", status, body)
	}
	want(state.WantedServing)
	deadline := time.Now().Add(10 * time.Second)
	for status := 0; status != http.StatusOK; status, _ = ask() {
		if time.Now().After(deadline) {
			t.Fatal("the started server got no work")
		}
		time.Sleep(10 * time.Millisecond)
	}
}
