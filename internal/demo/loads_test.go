package demo_test

import (
	"net/http"
	"testing"

	"github.com/rosemarypass/rosemarypass/internal/demo"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// The whole path loads by the broker's permits. Were the agent to reach no
// broker, loads would go on one by one, and only the counters would tell.
func TestLoadsHaveTheBrokersPermits(t *testing.T) {
	permits := telemetry.Counter("agent_permits")
	d := startDemo(t)
	before := permits.Value()
	for _, model := range demo.Adapters {
		response, body := post(t, d, "/v1/completions", demo.CallerKey, `{"model":"`+model+`","prompt":"x","max_tokens":1}`)
		if response.StatusCode != http.StatusOK {
			t.Fatalf("%s: %s: %s", model, response.Status, body)
		}
	}
	// On a machine that stands still for a moment single loads may do without.
	if permits.Value() == before {
		t.Error("no load had a permit of the broker")
	}
}
