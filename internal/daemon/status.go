package daemon

import (
	"context"
	"expvar"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/rosemarypass/rosemarypass/internal/answer"
)

// startStatus serves the platform's health checks and the counters on a separate
// listener: callers must not be able to read the counters, and the platform has
// no certificate for the listeners between processes.
func (d *Daemon) startStatus(context.Context) error {
	address := d.settings.StatusListen
	if address == "" {
		return nil
	}
	router := chi.NewRouter()
	router.Method(http.MethodGet, "/healthz", answer.Handler(func(*http.Request) answer.Answer { return answer.Full(http.StatusOK, nil, nil) }))
	router.Method(http.MethodGet, "/readyz", answer.Handler(d.ready))
	router.Get("/debug/vars", expvar.Handler().ServeHTTP)
	return d.serveHTTP(statusListen, address, plaintext, router, func(context.Context) {})
}

// ready answers the platform's readiness check: 200 if all roles of this process
// are ready, 503 otherwise.
func (d *Daemon) ready(*http.Request) answer.Answer {
	for _, check := range d.readiness {
		if !check() {
			return answer.Full(http.StatusServiceUnavailable, nil, nil)
		}
	}
	return answer.Full(http.StatusOK, nil, nil)
}
