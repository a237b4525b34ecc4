package telemetry

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestLatency is the largest value that a histogram tells apart.
	longestLatency = time.Minute
	// latencyDigits is the precision of a histogram in decimal digits: a
	// percentile is right to 10%.
	latencyDigits = 1
)

// Latency is a histogram of durations, published as an expvar with its count
// and percentiles in milliseconds.
type Latency struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// LatencyOf returns the histogram of that name, creating it on first use.
func LatencyOf(name string) *Latency {
	countersMu.Lock()
	defer countersMu.Unlock()
	if existing, ok := expvar.Get(name).(*Latency); ok {
		return existing
	}
	l := &Latency{hist: hdrhistogram.New(1, longestLatency.Microseconds(), latencyDigits)}
	expvar.Publish(name, l)
	return l
}

// Record adds a duration; longer ones than the histogram tells apart count as
// the longest.
func (l *Latency) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The value is within the range, so that no error can come.
	_ = l.hist.RecordValue(min(max(d, time.Microsecond), longestLatency).Microseconds())
}

// String implements expvar.Var.
func (l *Latency) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := func(q float64) float64 { return float64(l.hist.ValueAtQuantile(q)) / 1000 }
	return jsonObject(map[string]float64{
		"count": float64(l.hist.TotalCount()), "p50": at(50), "p95": at(95), "p99": at(99), "max": float64(l.hist.Max()) / 1000,
	})
}

func jsonObject(values map[string]float64) string {
	data, err := json.Marshal(values)
	if err != nil {
		return "{}"
	}
	return string(data)
}
