package telemetry_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"go.opentelemetry.io/otel"

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

func TestSpansAreExported(t *testing.T) {
	var received atomic.Int64
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/traces" {
			received.Add(1)
		}
	}))
	t.Cleanup(collector.Close)
	before := otel.GetTracerProvider()
	t.Cleanup(func() { otel.SetTracerProvider(before) })
	file := filepath.Join(t.TempDir(), "spans")
	for _, options := range []telemetry.TraceOptions{
		{Target: telemetry.TraceFile, Path: file},
		{Target: telemetry.TraceOTLP, Endpoint: collector.URL + "/v1/traces"},
	} {
		flush, err := telemetry.StartTraces(t.Context(), options)
		if err != nil {
			t.Fatal(err)
		}
		_, span := telemetry.StartClient(t.Context(), "hop")
		span.End()
		if err := flush(t.Context()); err != nil {
			t.Errorf("%s: %v", options.Target, err)
		}
	}
	if data, err := os.ReadFile(file); err != nil || !strings.Contains(string(data), `"Name":"hop"`) {
		t.Errorf("trace file contains %q, %v", data, err)
	}
	if received.Load() == 0 {
		t.Error("the collector received no spans")
	}
}
