// Package entry is the thin role behind the platform's balancer: it
// authenticates callers, admits requests under their contracts, chooses a
// backend server and relays the answer.
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
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

var (
	requestCount  = telemetry.Counter("entry_requests")
	answeredCount = telemetry.Counter("entry_answered")
	notRunCount   = telemetry.Counter("entry_not_run")
	unknownCount  = telemetry.Counter("entry_unknown")
	cutCount      = telemetry.Counter("entry_answers_cut")
	callerGone    = telemetry.Counter("entry_callers_gone")
	// wrongModelCount counts answers that came from another model than the
	// request asked for; they are never relayed.
	wrongModelCount = telemetry.Counter("entry_wrong_model")
)

// Options configure an entry.
type Options struct {
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// SecureAgents reaches agents over TLS.
	SecureAgents bool
	// Retries bound how often requests are offered to further servers.
	Retries retry.Limits
	// Placement tunes the choice of backend servers.
	Placement placement.SelectorOptions
	// BodyTimeout bounds how long a caller may take to send its body.
	BodyTimeout time.Duration
	// WriteTimeout bounds how long a caller may take to accept one piece of
	// its answer.
	WriteTimeout time.Duration
	// FirstByteTimeout bounds the wait for an answer's first byte.
	FirstByteTimeout time.Duration
	// StallTimeout bounds the silence within an answer.
	StallTimeout time.Duration
	// ClaimTimeout bounds the wait for the decision whether a call that
	// must run at most once may run.
	ClaimTimeout time.Duration
	// Claims decides that. Without it calls with a key are refused.
	Claims Claims
	// Admission enforces the contracts' limits; nil admits everything.
	Admission Admission
	// Suspicions decides whether a request that was at a crash may run.
	// Without it such requests run like any other.
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

// Source is what an entry knows of the system; a follow.Follower keeps it up
// to date.
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
	retries  *retries
	gate     *drain.Gate
	stopping atomic.Bool
}

// New returns an entry that reads its configuration from the follower. The
// client must come from the relay package, which never sends a call twice.
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
		retries:  newRetries(options.Retries),
		gate:     drain.NewGate(),
	}
}

// Handler serves callers and the platform.
func (e *Entry) Handler() http.Handler {
	router := chi.NewRouter()
	router.Method(http.MethodGet, "/healthz", answer.Handler(func(*http.Request) answer.Answer { return answer.Full(http.StatusOK, nil, nil) }))
	router.Method(http.MethodGet, "/readyz", answer.Handler(e.ready))
	router.Method(http.MethodPost, "/v1/completions", e.serve(e.complete))
	router.Method(http.MethodPost, "/v1/chat/completions", e.serve(e.complete))
	router.Handle("/services/{service}/*", e.serve(e.callService))
	router.Method(http.MethodGet, "/claims/{key}", e.serve(e.lookUpClaim))
	router.NotFound(e.serve(notServed).ServeHTTP)
	router.MethodNotAllowed(e.serve(otherMethod(router)).ServeHTTP)
	return router
}

func notServed(v *visit, _ *http.Request) reply {
	return v.fail(failure{status: http.StatusNotFound, code: codeUnknownPath, message: "nothing is served at this path"})
}

// otherMethod names the methods that a path is served by.
func otherMethod(routes chi.Routes) handle {
	return func(v *visit, r *http.Request) reply {
		var allowed []string
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			if routes.Match(chi.NewRouteContext(), method, r.URL.Path) {
				allowed = append(allowed, method)
			}
		}
		return v.fail(failure{status: http.StatusMethodNotAllowed, code: codeMethod, message: "this path is not served by this method", allowed: allowed})
	}
}

// Drain makes the entry not ready. It still serves, because the balancer goes
// on sending until it has seen that.
func (e *Entry) Drain() { e.stopping.Store(true) }

// Wait refuses new requests, returns when none is in flight or ctx ends, and
// says how many are left.
func (e *Entry) Wait(ctx context.Context) int { return e.gate.Wait(ctx) }

func (e *Entry) ready(*http.Request) answer.Answer {
	if !e.Ready() {
		return answer.Full(http.StatusServiceUnavailable, nil, nil)
	}
	return answer.Full(http.StatusOK, nil, nil)
}

// Ready reports whether the balancer may send callers here.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && e.follower.Freshness().MayAdmit()
}
