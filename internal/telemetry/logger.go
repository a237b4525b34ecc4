package telemetry

import (
	"expvar"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// logBurst is the maximum number of lines with the same message per second:
// logging during an overload must not use more CPU time than the requests.
const logBurst = 30

// NewSampledLogger returns a logger that writes JSON lines to standard output, at
// most logBurst per second with the same message; dropped counts the others.
// Logging never blocks on the reader of the output.
func NewSampledLogger(instance string, dropped *expvar.Int) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), newLineWriter(os.Stdout, dropped), zap.InfoLevel)
	return zap.New(newSampledCore(core, dropped)).With(zap.String("instance", instance))
}

func newSampledCore(core zapcore.Core, dropped *expvar.Int) zapcore.Core {
	return zapcore.NewSamplerWithOptions(core, time.Second, logBurst, 0, zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			dropped.Add(1)
		}
	}))
}
