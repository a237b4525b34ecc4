// Package entry implements the entry role behind the platform's load balancer. An
// entry authenticates callers, admits requests under their contracts, chooses a
// backend server and relays its answer.
package entry

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/placement"
	"github.com/rosemarypass/rosemarypass/coord/retry"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/drain"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/intake"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

var (
	requestCount    = telemetry.Counter("entry_requests")
	answeredCount   = telemetry.Counter("entry_answered")
	notRunCount     = telemetry.Counter("entry_not_run")
	unknownCount    = telemetry.Counter("entry_unknown")
	cutCount        = telemetry.Counter("entry_answers_cut")
	callerGoneCount = telemetry.Counter("entry_callers_gone")
	// wrongModelCount counts answers that came from a model other than the
	// requested one. They are never relayed.
	wrongModelCount = telemetry.Counter("entry_wrong_model")
)

// Options configures an Entry.
type Options struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// Intake bounds what the bodies of requests hold together; nil for no bound.
	Intake *intake.Budget
	// SecureAgents enables TLS for connections to agents.
	SecureAgents bool
	// Retries limits the retries of requests on other servers.
	Retries retry.Limits
	// Placement configures the choice of backend servers.
	Placement placement.SelectorOptions
	// BodyTimeout bounds how long a caller may take to send its body.
	BodyTimeout time.Duration
	// WriteTimeout bounds how long a caller may take to accept one piece of its
	// answer.
	WriteTimeout time.Duration
	// FirstByteTimeout bounds the wait for the first byte of an answer.
	FirstByteTimeout time.Duration
	// StallTimeout bounds how long an answer may pause between two pieces of data.
	StallTimeout time.Duration
	// ClaimTimeout bounds the wait for the decision whether a call that must run at
	// most once may run.
	ClaimTimeout time.Duration
	// Claims decides whether a call that must run at most once may run. If nil,
	// calls with an idempotency key are refused.
	Claims Claims
	// Admission enforces the contracts' limits. If nil, every request is admitted.
	Admission Admission
	// Suspicions decides whether a request that is suspected of a crash may run. If
	// nil, suspected requests run like any other.
	Suspicions Suspicions
}

const (
	defaultMaxBodyBytes     = 4 << 20
	defaultBodyTimeout      = 30 * time.Second
	defaultWriteTimeout     = 30 * time.Second
	defaultFirstByteTimeout = 2 * time.Minute
	defaultStallTimeout     = 30 * time.Second
	defaultClaimTimeout     = 3 * time.Second
)

func (o *Options) setDefaults() {
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, defaultMaxBodyBytes)
	o.Retries = cmp.Or(o.Retries, retry.DefaultLimits)
	o.BodyTimeout = cmp.Or(o.BodyTimeout, defaultBodyTimeout)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, defaultWriteTimeout)
	o.FirstByteTimeout = cmp.Or(o.FirstByteTimeout, defaultFirstByteTimeout)
	o.StallTimeout = cmp.Or(o.StallTimeout, defaultStallTimeout)
	o.ClaimTimeout = cmp.Or(o.ClaimTimeout, defaultClaimTimeout)
}

// Source provides the entry's view of the system. It is implemented by
// follow.Follower, which keeps the view up to date.
type Source interface {
	Config() *follow.Config
	Servers() []membership.Announcement
	Freshness() freshness.State
}

// Entry serves callers.
type Entry struct {
	options  Options
	log      *zap.Logger
	follower Source
	client   *http.Client
	placer   *placer
	retries  *retrier
	gate     *drain.Gate
	draining atomic.Bool
}

// New returns an entry that reads its configuration from the follower. The client
// must come from the relay package, which never sends a request twice.
func New(options Options, follower Source, client *http.Client, log *zap.Logger) *Entry {
	options.setDefaults()
	if options.Admission == nil {
		options.Admission = unlimited{}
	}
	return &Entry{
		options:  options,
		log:      log,
		follower: follower,
		client:   client,
		placer:   newPlacer(options.Placement, follower.Servers),
		retries:  newRetrier(options.Retries),
		gate:     drain.NewGate(),
	}
}

// Handler returns the handler for callers and for the platform's health checks.
func (e *Entry) Handler() http.Handler {
	router := chi.NewRouter()
	router.Method(http.MethodGet, "/healthz", answer.Handler(func(*http.Request) answer.Answer { return answer.Full(http.StatusOK, nil, nil) }))
	router.Method(http.MethodGet, "/readyz", answer.Handler(e.ready))
	router.Method(http.MethodPost, "/v1/completions", e.serve(e.complete))
	router.Method(http.MethodPost, "/v1/chat/completions", e.serve(e.complete))
	router.Handle("/services/{service}/*", e.serve(e.callService))
	router.Method(http.MethodGet, "/claims/{key}", e.serve(e.lookUpClaim))
	router.NotFound(e.serve(unknownPath).ServeHTTP)
	router.MethodNotAllowed(e.serve(methodNotAllowed(router)).ServeHTTP)
	return router
}

func unknownPath(in *inbound, _ *http.Request) reply {
	return in.fail(failure{status: http.StatusNotFound, code: codeUnknownPath, message: "nothing is served at this path"})
}

// methodNotAllowed returns a handler that answers with the methods that a path
// supports.
func methodNotAllowed(routes chi.Routes) handlerFunc {
	return func(in *inbound, r *http.Request) reply {
		var allowed []string
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			if routes.Match(chi.NewRouteContext(), method, r.URL.Path) {
				allowed = append(allowed, method)
			}
		}
		return in.fail(failure{status: http.StatusMethodNotAllowed, code: codeMethodNotAllowed, message: "this path is not served by this method", allowed: allowed})
	}
}

// Drain makes the entry report not ready. It continues to serve, because the load
// balancer sends requests until it notices.
func (e *Entry) Drain() { e.draining.Store(true) }

// Wait refuses new requests and blocks until no request is in flight or ctx is
// done. It returns the number of requests still in flight.
func (e *Entry) Wait(ctx context.Context) int { return e.gate.Wait(ctx) }

func (e *Entry) ready(*http.Request) answer.Answer {
	if !e.Ready() {
		return answer.Full(http.StatusServiceUnavailable, nil, nil)
	}
	return answer.Full(http.StatusOK, nil, nil)
}

// Ready reports whether the load balancer may send requests to this entry.
func (e *Entry) Ready() bool {
	return !e.draining.Load() && e.follower.Freshness().MayAdmit()
}
