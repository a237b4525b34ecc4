package fleet

import (
	stdlog "log"
	"net/http"
	"runtime/debug"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// handlerPanicCount counts the requests whose handler panicked.
var handlerPanicCount = telemetry.Counter("handler_panics")

// reportPanics logs the panic of a handler. net/http then ends the connection, which the caller
// cannot tell from the end of the process.
func (p *process) reportPanics(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			reason := recover()
			if reason == nil {
				return
			}
			if reason != http.ErrAbortHandler {
				handlerPanicCount.Add(1)
				p.log.Error("handler panicked", zap.String("request", r.Header.Get(p.platform.Edge.IDHeader())), zap.String("method", r.Method), zap.String("path", r.URL.Path),
					zap.Any("panic", reason), zap.ByteString("stack", debug.Stack()))
			}
			panic(http.ErrAbortHandler)
		}()
		handler.ServeHTTP(w, r)
	})
}

// serverErrors returns the logger of what net/http cannot do, such as accepting a connection.
func (p *process) serverErrors() *stdlog.Logger {
	logger, err := zap.NewStdLogAt(p.log, zap.WarnLevel)
	if err != nil {
		// Only an unknown level is an error.
		panic(err)
	}
	return logger
}
