package daemon

import (
	"context"
	"expvar"
	"net/http"

	"github.com/go-chi/chi/v5"
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
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", d.ready)
	router.Get("/debug/vars", expvar.Handler().ServeHTTP)
	return d.serveHTTP(statusListen, address, plain, router, func(context.Context) {})
}

// ready answers the platform: this process can do the work of all its roles.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	for _, check := range d.readiness {
		if !check() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	w.WriteHeader(http.StatusOK)
}
