package telemetry

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Names of the spans of a request, one for each hop or step.
const (
	SpanEntryRequest = "entry.request"
	SpanEntryAttempt = "entry.attempt"
	SpanEntryClaim   = "entry.claim"
	SpanAgentServe   = "agent.serve"
	SpanAgentWait    = "agent.wait"
	SpanAgentEngine  = "agent.engine"
	SpanEngine       = "engine.generate"
)

// Attribute keys.
const (
	AttributeModel   = attribute.Key("rosemarypass.model")
	AttributeServer  = attribute.Key("rosemarypass.server")
	AttributeOutcome = attribute.Key("rosemarypass.outcome")
	AttributeRequest = attribute.Key("rosemarypass.request_id")
)

// StartServer starts the span of a hop that received a request, as a child of the
// span in the request's W3C trace context.
func StartServer(r *http.Request, name string) (context.Context, trace.Span) {
	ctx := Propagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return Tracer().Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
}

// StartClient starts the span of a call to the next hop.
func StartClient(ctx context.Context, name string) (context.Context, trace.Span) {
	return Tracer().Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient))
}

// Inject writes the W3C trace context of ctx to the headers of a call.
func Inject(ctx context.Context, header http.Header) {
	Propagator().Inject(ctx, propagation.HeaderCarrier(header))
}
