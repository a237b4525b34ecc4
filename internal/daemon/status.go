package daemon

import (
	"context"
	"expvar"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/rosemarypass/rosemarypass/internal/answer"
)

// startStatus serves the platform's checks and the counters on a listener of
// their own: callers must not read the counters, and the platform holds no
// certificate for the listeners between processes.
func (d *Daemon) startStatus(context.Context) error {
	address := d.settings.StatusListen
	if address == "" {
		return nil
	}
	router := chi.NewRouter()
	router.Method(http.MethodGet, "/healthz", answer.Handler(func(*http.Request) answer.Answer { return answer.Full(http.StatusOK, nil, nil) }))
	router.Method(http.MethodGet, "/readyz", answer.Handler(d.ready))
	router.Get("/debug/vars", expvar.Handler().ServeHTTP)
	return d.serveHTTP(statusListen, address, plain, router, func(context.Context) {})
}

// ready answers the platform: this process can do the work of all its roles.
func (d *Daemon) ready(*http.Request) answer.Answer {
	for _, check := range d.readiness {
		if !check() {
			return answer.Full(http.StatusServiceUnavailable, nil, nil)
		}
	}
	return answer.Full(http.StatusOK, nil, nil)
}
