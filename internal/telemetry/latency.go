package telemetry

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest value that a histogram records.
	maxLatency = time.Minute
	// latencySignificantDigits is the precision of a histogram in significant decimal
	// digits: percentiles are accurate to within 10%.
	latencySignificantDigits = 1
)

// Latency is a histogram of durations, published as an expvar with its count
// and percentiles in milliseconds.
type Latency struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// LatencyOf returns the histogram with the given name, creating it on first use.
func LatencyOf(name string) *Latency {
	countersMu.Lock()
	defer countersMu.Unlock()
	if existing, ok := expvar.Get(name).(*Latency); ok {
		return existing
	}
	l := &Latency{hist: hdrhistogram.New(1, maxLatency.Microseconds(), latencySignificantDigits)}
	expvar.Publish(name, l)
	return l
}

// Record adds a duration to the histogram. Durations above maxLatency are recorded
// as maxLatency.
func (l *Latency) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The value is clamped to the range, so RecordValue cannot fail.
	_ = l.hist.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// String implements expvar.Var.
func (l *Latency) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	percentile := func(q float64) float64 { return float64(l.hist.ValueAtQuantile(q)) / 1000 }
	return jsonObject(map[string]float64{
		"count": float64(l.hist.TotalCount()), "p50": percentile(50), "p95": percentile(95), "p99": percentile(99), "max": float64(l.hist.Max()) / 1000,
	})
}

func jsonObject(values map[string]float64) string {
	data, err := json.Marshal(values)
	if err != nil {
		return "{}"
	}
	return string(data)
}
