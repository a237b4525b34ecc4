package telemetry

import (
	"encoding/json"
	"testing"
	"time"
)

func TestLatencyPercentiles(t *testing.T) {
	l := LatencyOf("test_latency")
	for i := 1; i <= 100; i++ {
		l.Record(time.Duration(i) * time.Millisecond)
	}
	l.Record(2 * maxLatency)
	var got struct{ Count, P50, P99, Max float64 }
	if err := json.Unmarshal([]byte(l.String()), &got); err != nil {
		t.Fatal(err)
	}
	if got.Count != 101 || got.P50 < 45 || got.P50 > 56 || got.P99 < 90 || got.Max < 60_000 {
		t.Errorf("got %+v, want 101 values with p50 45 to 56, p99 from 90 and max from 60000", got)
	}
	if LatencyOf("test_latency") != l {
		t.Error("LatencyOf created a second histogram for the same name")
	}
}
