package demo_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/rosemarypass/rosemarypass/internal/demo"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// Guards against a broken trace: the trace context must propagate from the caller
// to the engine, and the parent of each span must be the span of the previous hop.
func TestTraceHasSpanForEachHop(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	previous := otel.GetTracerProvider()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter)))
	t.Cleanup(func() { otel.SetTracerProvider(previous) })
	d := startDemo(t)

	const traceID, callerSpan = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+d.Entry+"/v1/completions", strings.NewReader(`{"model":"quote-draft@1","prompt":"x","max_tokens":2}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+demo.CallerKey)
	request.Header.Set("Traceparent", "00-"+traceID+"-"+callerSpan+"-01")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()

	parents := map[string]string{
		telemetry.SpanEntryAttempt: telemetry.SpanEntryRequest,
		telemetry.SpanAgentServe:   telemetry.SpanEntryAttempt,
		telemetry.SpanAgentWait:    telemetry.SpanAgentServe,
		telemetry.SpanAgentEngine:  telemetry.SpanAgentServe,
		telemetry.SpanEngine:       telemetry.SpanAgentEngine,
	}
	spans := awaitSpans(t, exporter, traceID, len(parents)+1)
	if got := spans[telemetry.SpanEntryRequest].Parent.SpanID().String(); got != callerSpan {
		t.Errorf("the first hop's parent is %s, want the caller's span", got)
	}
	for child, parent := range parents {
		if got, want := spans[child].Parent.SpanID(), spans[parent].SpanContext.SpanID(); got != want {
			t.Errorf("%s has parent %s, want %s (%s)", child, got, want, parent)
		}
	}
}

// awaitSpans waits until want spans of a trace are exported, because each hop
// ends its span independently.
func awaitSpans(t *testing.T, exporter *tracetest.InMemoryExporter, traceID string, want int) map[string]tracetest.SpanStub {
	t.Helper()
	for range 500 {
		spans := make(map[string]tracetest.SpanStub)
		for _, span := range exporter.GetSpans() {
			if span.SpanContext.TraceID().String() == traceID {
				spans[span.Name] = span
			}
		}
		if len(spans) == want {
			return spans
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the trace never had %d spans: %v", want, exporter.GetSpans())
	return nil
}
