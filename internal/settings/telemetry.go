package settings

import "fmt"

// Values of Telemetry.Traces.
const (
	TracesOff    = "off"
	TracesStdout = "stdout"
	TracesFile   = "file"
	TracesOTLP   = "otlp"
)

// Telemetry configures traces.
type Telemetry struct {
	// Traces is one of off, stdout, file, otlp.
	Traces string `json:"traces"`
	// TraceFile is the path of the trace file if Traces is "file".
	TraceFile string `json:"traceFile,omitempty"`
	// TraceEndpoint is the collector's URL if Traces is "otlp".
	TraceEndpoint string `json:"traceEndpoint,omitempty"`
	// TraceShare is the fraction of callers' requests that are traced, from 0 to
	// 1; 0 means the default of 1. A caller's own sampling decision is kept.
	TraceShare float64 `json:"traceShare,omitempty"`
}

func (t *Telemetry) check(p *problems) {
	switch t.Traces {
	case TracesOff, TracesStdout:
	case TracesFile:
		if t.TraceFile == "" {
			p.add("telemetry.traceFile", `a path is required with "traces": "file"`)
		}
	case TracesOTLP:
		if t.TraceEndpoint == "" {
			p.add("telemetry.traceEndpoint", `a URL is required with "traces": "otlp"`)
		}
	default:
		p.add("telemetry.traces", fmt.Sprintf("%q is not one of off, stdout, file, otlp", t.Traces))
	}
	if t.TraceShare < 0 || t.TraceShare > 1 {
		p.add("telemetry.traceShare", "must be from 0 to 1")
	}
	if t.TraceFile != "" && t.Traces != TracesFile {
		p.add("telemetry.traceFile", `has no effect unless "traces" is "file"`)
	}
	if t.TraceEndpoint != "" && t.Traces != TracesOTLP {
		p.add("telemetry.traceEndpoint", `has no effect unless "traces" is "otlp"`)
	}
}
