package demo_test

import (
	"net/http"
	"testing"

	"github.com/rosemarypass/rosemarypass/internal/demo"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// Guards against an agent that does not reach the load broker. It would still
// load adapters, one at a time and without permits, and only the counters would
// show it.
func TestLoadsUseBrokerPermits(t *testing.T) {
	permits := telemetry.Counter("agent_permits")
	d := startDemo(t)
	before := permits.Value()
	for _, model := range demo.Adapters {
		response, body := post(t, d, "/v1/completions", demo.CallerKey, `{"model":"`+model+`","prompt":"x","max_tokens":1}`)
		if response.StatusCode != http.StatusOK {
			t.Fatalf("%s: got %s: %s, want 200", model, response.Status, body)
		}
	}
	// If the machine stalls, individual loads may proceed without a permit.
	if permits.Value() == before {
		t.Error("no load had a permit from the broker")
	}
}
