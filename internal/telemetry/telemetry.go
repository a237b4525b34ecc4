// Package telemetry sets up logs, counters and traces.
package telemetry

import (
	"context"
	"expvar"
	"os"
	"sync"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.26.0"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
)

// TraceTarget selects where spans are written.
type TraceTarget string

const (
	// TraceOff records no spans.
	TraceOff TraceTarget = "off"
	// TraceStdout prints spans to standard output.
	TraceStdout TraceTarget = "stdout"
	// TraceFile appends spans to a file.
	TraceFile TraceTarget = "file"
	// TraceOTLP exports spans to a collector with OTLP over HTTP.
	TraceOTLP TraceTarget = "otlp"
)

// TraceOptions configure tracing.
type TraceOptions struct {
	Target TraceTarget
	// Path is the file for TraceFile.
	Path string
	// Endpoint is the collector's URL for TraceOTLP.
	Endpoint string
	// Instance is the service instance ID of the spans.
	Instance string
	// SampleRatio is the fraction of requests without an incoming sampling decision that
	// are traced, from 0 to 1; 0 means 1.
	SampleRatio float64
}

// Tracer returns the tracer that all hops use.
func Tracer() trace.Tracer { return otel.Tracer("rosemarypass") }

// Propagator returns the propagator, which reads and writes the W3C trace context.
func Propagator() propagation.TextMapPropagator { return propagation.TraceContext{} }

// StartTraces installs the global tracer provider. The returned function
// flushes pending spans.
func StartTraces(ctx context.Context, options TraceOptions) (func(context.Context) error, error) {
	if options.Target == TraceOff || options.Target == "" {
		return func(context.Context) error { return nil }, nil
	}
	exporter, err := newExporter(ctx, options)
	if err != nil {
		return nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sampler(options.SampleRatio)),
		sdktrace.WithResource(resource.NewSchemaless(
			semconv.ServiceName("rosemarypass"),
			semconv.ServiceInstanceID(options.Instance),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// sampler returns a sampler that follows the sampling decision of the incoming
// request, and samples requests without one with probability share.
func sampler(ratio float64) sdktrace.Sampler {
	if ratio == 0 {
		ratio = 1
	}
	return sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))
}

func newExporter(ctx context.Context, options TraceOptions) (sdktrace.SpanExporter, error) {
	switch options.Target {
	case TraceStdout:
		return stdouttrace.New()
	case TraceFile:
		file, err := os.OpenFile(options.Path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, errors.Wrap(err, "open trace file")
		}
		return stdouttrace.New(stdouttrace.WithWriter(file))
	case TraceOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(options.Endpoint))
	default:
		return nil, errors.Errorf("unknown trace target %q", options.Target)
	}
}

// NewLogger returns a logger that writes JSON lines to standard error.
func NewLogger(instance string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.Sampling = nil
	logger, err := config.Build()
	if err != nil {
		return nil, errors.Wrap(err, "build logger")
	}
	return logger.With(zap.String("instance", instance)), nil
}

// Cause returns a log field with the text of an error. zap.Error would add the
// stack trace of errors that have one, on the order of a thousand bytes per line.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("cause", err.Error())
}

// countersMu makes lookup and creation atomic: expvar terminates the process if a
// name is published twice.
var countersMu sync.Mutex

// Counter returns the expvar counter with the given name, creating it on first
// use. Several roles in one process, as in the demo, share a counter.
func Counter(name string) *expvar.Int {
	countersMu.Lock()
	defer countersMu.Unlock()
	if existing, ok := expvar.Get(name).(*expvar.Int); ok {
		return existing
	}
	return expvar.NewInt(name)
}
