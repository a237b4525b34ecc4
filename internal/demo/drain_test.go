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

// Guards against refused requests without a definite outcome while the only
// server is drained, and against a server that gets no requests after it is
// started again. Every refusal must report that the request was not run.
func TestDrainAndStartServer(t *testing.T) {
	t.Run("plaintext", func(t *testing.T) { drainAndStart(t, startDemo(t)) })
	t.Run("with certificates", func(t *testing.T) {
		failed := telemetry.Counter("rpc_handshakes_failed")
		before := failed.Value()
		drainAndStart(t, startDemoWithTLS(t))
		if now := failed.Value(); now != before {
			t.Errorf("%d TLS handshakes between the demo's own processes failed", now-before)
		}
	})
}

func drainAndStart(t *testing.T, d *demo.Demo) {
	t.Helper()
	client := operator.NewClient(operator.Options{URLs: []string{d.OperatorURL()}, Key: demo.OperatorKey, HTTP: d.OperatorClient()})
	send := func() (int, string) {
		response, body := post(t, d, "/v1/completions", demo.CallerKey, `{"model":"`+demo.Adapters[0]+`","prompt":"x","max_tokens":1}`)
		if response.StatusCode != http.StatusOK && response.Header.Get(outcome.Header) != outcome.NotRun.String() {
			t.Errorf("got %s %s, want 200 or the outcome not-run", response.Status, body)
		}
		return response.StatusCode, body
	}
	setWanted := func(wanted state.Wanted) {
		current, err := client.Server(t.Context(), "floor-assist-1")
		if err != nil {
			t.Fatal(err)
		}
		current.Wanted.Wanted = wanted
		result, err := client.ChangeAs(t.Context(), "", http.MethodPut, "/admin/v1/servers/floor-assist-1", current.Wanted)
		if err != nil {
			t.Fatal(err)
		}
		awaitInForce(t, client, result.Index)
	}
	setWanted(state.WantedDraining)
	if status, body := send(); status != http.StatusServiceUnavailable || !strings.Contains(body, "no_server") {
		t.Errorf("while drained: got %d %s, want 503 with no_server", status, body)
	}
	setWanted(state.WantedServing)
	// A server that gets no requests any more ends the test with the run's own timeout.
	for status := 0; status != http.StatusOK; status, _ = send() {
		time.Sleep(10 * time.Millisecond)
	}
}
