package telemetry

import (
	"expvar"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// logBurst bounds lines of one text in a second: an overload must not cost the
// processor more than the requests do.
const logBurst = 30

// NewBoundedLogger returns a logger that writes JSON lines to standard output,
// at most logBurst of one text in a second; dropped counts the rest. Nobody waits
// for whoever reads them.
func NewBoundedLogger(instance string, dropped *expvar.Int) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), newLineWriter(os.Stdout, dropped), zap.InfoLevel)
	return zap.New(bounded(core, dropped)).With(zap.String("instance", instance))
}

func bounded(core zapcore.Core, dropped *expvar.Int) zapcore.Core {
	return zapcore.NewSamplerWithOptions(core, time.Second, logBurst, 0, zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			dropped.Add(1)
		}
	}))
}
