// Package gateway serves callers according to routes: it looks up the route of a request,
// chooses a backend server, requests a start from the agent beside an engine, sends the request
// and relays the answer. The Edge interprets the HTTP headers.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/intake"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/sharedlimit"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/upstream"
)

// Edge translates between HTTP headers and their meaning.
type Edge interface {
	// Parse reads the request of a caller.
	Parse(r *http.Request) Call
	// Forward returns the header of the request that is sent to a server.
	Forward(c *Call, hop Hop) http.Header
	// Classify interprets the header of a server's answer.
	Classify(status int, header http.Header) Verdict
	// IDHeader returns the name of the header that carries a request's ID.
	IDHeader() string
}

// Call is one attempt of a caller.
type Call struct {
	// ID identifies the attempt; it is empty when the caller sent none.
	ID string
	// Caller is the IP address of the caller.
	Caller string
	// Model is the base model, Adapter has the form model/adapter. Both are empty when the
	// caller does not name them.
	Model   string
	Adapter string
	// PromptTokens is the size of the prompt, OutputTokens the maximum number of generated
	// tokens.
	PromptTokens int
	OutputTokens int
	// SharedParts are the IDs of the parts of the prompt that other requests may share, in their order;
	// the last part of a prompt is its own.
	SharedParts []string
	// Key identifies the caller's team.
	Key Key
	// MaxWait is how long the caller waits; 0 when it did not say.
	MaxWait time.Duration
	// TakesUp is set where the caller has events of the stream from an earlier attempt. Resumes is the ID
	// of the attempt that brought the first of them, empty where the caller names none or several, and
	// ResumeAfter the ID of the last event that it has.
	TakesUp     bool
	Resumes     string
	ResumeAfter string
	// Method, URI, Host and Header are forwarded.
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Hop is what the system adds to a request that it forwards to a server.
type Hop struct {
	// Server is the incarnation that the request is addressed to.
	Server string
	// Remaining is the time left until the caller stops waiting for the answer.
	Remaining time.Duration
	// Rank is the request's priority; 0 is the highest.
	Rank int
	// Engine is set when the server is a model engine.
	Engine bool
	// Authenticated is set where the configuration names teams: the caller's key and whatever it sent as a
	// team's name are not forwarded. Team is the name of the caller's team, empty on a route that is open.
	Authenticated bool
	Team          string
	// LastEvent is the ID of the last event that the caller has received; empty at the
	// beginning.
	LastEvent string
}

// Verdict is the information in the header of a server's answer.
type Verdict struct {
	// Signed is set when the server itself produced the answer.
	Signed bool
	// NotRun is set when the server states that it did not run the request; Misdirected is set
	// when it is not the incarnation that was addressed or lacks what the request needs.
	NotRun      bool
	Misdirected bool
	// HasLoad is set when the server reported its load.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
	// Slow is how long work takes on the server's machine now, as a factor of the usual time; 0 where the
	// answer does not tell it. LoadFault is why a part of the reported load cannot be read.
	Slow      float64
	LoadFault error
	// NamesRate is set when the answer names the rate at which the server takes requests from all entries
	// together, Rate is that rate in requests a second, and RateFault is why it cannot be read.
	NamesRate bool
	Rate      float64
	RateFault error
}

// Options configures a gateway.
type Options struct {
	DataCentre string
	// AgentPort is the port on which an agent listens on its engine's machine.
	AgentPort string
	// RepeatRatio and RepeatSlack limit the requests that all entries together repeat: a share
	// of the requests, plus a fixed number.
	RepeatRatio float64
	RepeatSlack float64
	// RepeatWindow is the time window to which that limit applies.
	RepeatWindow time.Duration
	// Restarted is set when an earlier incarnation of this entry may have run.
	Restarted bool
	// VersionGrace is how long requests may start on an adapter's old version after a newer one was
	// announced.
	VersionGrace time.Duration
	// Heartbeat is the interval between two announcements of a server.
	Heartbeat time.Duration
	// StopTimeout is the maximum duration of a planned stop.
	StopTimeout time.Duration
	// ConfirmNewest reports whether every change of the configuration that was acknowledged before
	// the call is in force here. It is nil where changes are not made elsewhere.
	ConfirmNewest func(context.Context) bool
	// Limits enforces the limits of teams. It is nil where there are none.
	Limits *sharedlimit.Limits
	// AnswerBytes bounds what answers that are not complete hold together; 0 for the default.
	AnswerBytes int64
	// BacklogBytes bounds what is held for callers that read slowly; 0 for the default.
	BacklogBytes int64
	// Turns keeps the rates that servers name. It is nil where they are not kept.
	Turns *sharedlimit.Limits
	// Intake bounds what the bodies of requests hold together; nil for no bound.
	Intake *intake.Budget
}

// Gateway is the HTTP handler that serves callers.
type Gateway struct {
	options Options
	edge    Edge
	mesh    *mesh.Mesh
	pool    *upstream.Pool
	// memory bounds what answers that are not complete hold together.
	memory       *upstream.Memory
	servers      *servers
	budget       *budget
	strikes      *strikes
	startupQueue *startupQueue
	durations    *durations
	backlogs     *backlogs
	underWay     underWay
	shares       *shares
	log          *zap.Logger
	// now returns the time by which the output of servers is measured.
	now  func() time.Time
	stop stop
	// startReported is set once the line about the start is written. Only Run uses it.
	startReported bool
}

// dialTimeout limits the time to establish a connection to a server. Within a region this takes
// a few milliseconds. A lost packet is retransmitted only after one second, in which another
// server or another connection could have answered.
const dialTimeout = 300 * time.Millisecond

// New returns a gateway.
func New(options Options, edge Edge, m *mesh.Mesh, log *zap.Logger) *Gateway {
	memory := upstream.NewMemory(options.AnswerBytes)
	pool := upstream.NewPool(dialTimeout, memory)
	g := &Gateway{
		options: options, edge: edge, mesh: m, pool: pool, memory: memory, log: log, now: time.Now,
		servers: newServers(options, m, pool, log), budget: newBudget(options, m),
		startupQueue: newStartupQueue(options.Heartbeat), durations: newDurations(), backlogs: newBacklogs(options.BacklogBytes, log), shares: newShares(),
	}
	g.strikes = &strikes{gateway: g, wakeup: make(chan struct{}, 1), followed: make(map[upstream.Target]*followed), unanswered: make(map[*unanswered]bool)}
	return g
}

var (
	requestCount  = telemetry.Counter("gateway_requests")
	noRouteCount  = telemetry.Counter("gateway_no_route")
	answeredCount = telemetry.Counter("gateway_answered")
	lateCount     = telemetry.Counter("gateway_answered_late")
	// startupWaitCount counts the requests that waited for state that the entry did not have
	// yet.
	startupWaitCount = telemetry.Counter("gateway_held_at_start")

	refusedCrashingCount = telemetry.Counter("gateway_refused_crashing")
	// refusedPartCount counts those of them that were refused for a part of their prompts.
	refusedPartCount = telemetry.Counter("gateway_refused_crashing_part")
	// refusedDoubtedCount counts the requests that had to wait for the trial of another copy.
	refusedDoubtedCount = telemetry.Counter("gateway_refused_doubted")
	refusedCount        = telemetry.Counter("gateway_refused")
	failedCount         = telemetry.Counter("gateway_failed")
	callersGoneCount    = telemetry.Counter("gateway_callers_gone")
	// goneUnansweredCount counts the callers that left after their request had been sent to a
	// server that had not begun to answer.
	goneUnansweredCount = telemetry.Counter("gateway_callers_gone_unanswered")
	repeatCount         = telemetry.Counter("gateway_repeats")
	repeatsRefusedCount = telemetry.Counter("gateway_repeats_refused")
	resumedCount        = telemetry.Counter("gateway_resumed")

	// firstLatency is the time to the first event or to the complete answer; startLatency is
	// the part of it that agents took to grant the start.
	firstLatency = telemetry.LatencyOf("gateway_first_millis")
	startLatency = telemetry.LatencyOf("gateway_start_millis")
)

// defaultMaxBody limits request bodies while the configuration sets no limit.
const defaultMaxBody = 4 << 20

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer g.underWay.begin(r.Header.Get(g.edge.IDHeader()))()
	// The body is held until the answer is written: another server may get the request while it is being written. A request
	// without a body must not be given up for others, as that ends its context.
	var holding *intake.Holding
	if r.ContentLength != 0 {
		holding = g.options.Intake.Begin(func() { answer.EndRead(r.Context()) })
	}
	defer holding.Release()
	answered := func(r *http.Request) answer.Answer { return g.answer(r, holding) }
	answer.Handler(answered).ServeHTTP(w, r)
}

// answer returns the answer to a caller. All answers go through it, so an answer that breaks
// off can only end in an aborted connection, never in one that looks complete.
func (g *Gateway) answer(r *http.Request, holding *intake.Holding) answer.Answer {
	arrived := time.Now()
	requestCount.Add(1)
	firstRequest.Reach()
	if g.stop.begun() {
		return g.route(r, holding, arrived).WithConnectionClose()
	}
	return g.route(r, holding, arrived)
}

// route looks up the route of a request and serves the request.
func (g *Gateway) route(r *http.Request, holding *intake.Holding, arrived time.Time) answer.Answer {
	call := g.edge.Parse(r)
	call.Caller = callerAddress(r)
	if !g.configured() && !g.awaitConfigured(r.Context(), g.startupQueue.options.Latest(arrived, call.MaxWait)) {
		return g.refuse(&call, g.unconfiguredReason(), minRetryAfter)
	}
	found := g.lookup(r, &call)
	if !found.allowed() {
		if !g.confirmNewest(r.Context()) {
			return g.refuse(&call, reasonStaleConfig, minRetryAfter)
		}
		found = g.lookup(r, &call)
	}
	if !found.allowed() {
		return g.deny(r, &call, found)
	}
	table := found.table
	deadline := arrived.Add(found.route.Timeout)
	if call.MaxWait > 0 && call.MaxWait < found.route.Timeout {
		deadline = arrived.Add(call.MaxWait)
	}
	if refused, ok := g.readBody(r, holding, &call, table.Bounds().BodyBytes, deadline); !ok {
		return refused
	}
	ctx, cancel := context.WithCancel(r.Context())
	x := &exchange{
		Gateway: g, ctx: ctx, cancel: cancel, call: call, route: found.route, team: found.team, rank: table.Rank(found.team, found.route), table: table, arrived: arrived, deadline: deadline,
		service: table.Service(found.route.Pick(rand.Float64())), version: table.Version(), tried: make(map[string]bool),
	}
	return x.run()
}

// callerAddress returns the IP address from which a request came.
func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// configured reports whether this entry knows enough to serve.
func (g *Gateway) configured() bool { return g.mesh.Ready() }

// awaitConfigured waits for a configuration at an entry that has just started. At an entry that
// was suspended it waits for confirmation that the configuration is the newest.
func (g *Gateway) awaitConfigured(ctx context.Context, latest time.Time) bool {
	if g.startupQueue.await(ctx, latest, g.configured) {
		return true
	}
	return g.mesh.Documents().Current().Table != nil && g.mesh.Informed() && ctx.Err() == nil && time.Now().Before(latest) && g.confirmNewest(ctx)
}

// unconfiguredReason returns the reason why no request can be routed.
func (g *Gateway) unconfiguredReason() string {
	switch {
	case g.mesh.Documents().Current().Table == nil:
		return "no configuration has arrived yet"
	case !g.mesh.Informed():
		return "no other entry has told yet which requests crash servers"
	}
	return reasonStaleConfig
}

// reasonStaleConfig is the reason for refusing a request that a newer configuration may allow.
const reasonStaleConfig = "the configuration may be an old one"

// confirmNewest reports whether the configuration may be used to refuse a caller permanently.
// Such a caller does not retry, although a newer configuration may allow its request.
func (g *Gateway) confirmNewest(ctx context.Context) bool {
	if g.options.ConfirmNewest == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	return g.options.ConfirmNewest(ctx)
}

// newestTimeout limits the wait for confirmation that the configuration is the newest; it
// allows for several round trips between regions.
const newestTimeout = 500 * time.Millisecond

// readBody reads the body of the request into the call, until the deadline at the latest. If that fails, it returns
// the answer for the caller.
func (g *Gateway) readBody(r *http.Request, holding *intake.Holding, call *Call, limit int64, deadline time.Time) (answer.Answer, bool) {
	if r.Body == nil || r.ContentLength == 0 {
		return answer.Answer{}, true
	}
	if limit <= 0 {
		limit = defaultMaxBody
	}
	endBound := answer.BoundRead(r.Context(), deadline)
	body, err := holding.ReadRequest(r, limit)
	endBound()
	if err == nil {
		call.Body = body
		return answer.Answer{}, true
	}
	holding.Release()
	// On a connection that stays open, the answer would be delayed until the rest of the body is read.
	return g.refuseBody(r, call, limit, err).WithConnectionClose(), false
}

// refuseBody returns the answer to a request whose body could not be read for a reason.
func (g *Gateway) refuseBody(r *http.Request, call *Call, limit int64, reason error) answer.Answer {
	switch {
	case errors.Is(reason, intake.ErrNoRoom):
		return g.refuseWith(call, intake.ErrNoRoom.Error(), minRetryAfter, zap.String("cause", string(causeMemory)))
	case errors.Is(reason, os.ErrDeadlineExceeded):
		return answer.Text(http.StatusRequestTimeout, g.ownHeader(call), "the body did not arrive in time")
	case !errors.Is(reason, intake.ErrTooLarge):
		// The caller aborted its own request.
		return answer.Answer{}
	case !(g.confirmNewest(r.Context()) && g.mesh.Documents().Current().Table.Bounds().BodyBytes <= limit):
		return g.refuse(call, reasonStaleConfig, minRetryAfter)
	}
	return answer.Text(http.StatusRequestEntityTooLarge, g.ownHeader(call), "the body is larger than the configuration allows")
}

// ownHeader returns the header of an answer that this entry produces itself.
func (g *Gateway) ownHeader(call *Call) http.Header {
	header := make(http.Header)
	if call.ID != "" {
		header.Set(g.edge.IDHeader(), call.ID)
	}
	return header
}

// minRetryAfter is the base delay that callers are asked to wait before a retry. It is used
// where the missing resource is expected to be available soon: a server that restarts, or an
// entry that stops.
const minRetryAfter = 250 * time.Millisecond

// refuse returns the answer to a request that the configuration of this entry does not suffice to serve.
func (g *Gateway) refuse(call *Call, reason string, after time.Duration) answer.Answer {
	return g.refuseWith(call, reason, after, zap.String("cause", string(causeConfiguration)))
}

// refuseWith returns the answer to a request that has not run and will not run; fields tell more of it in the log.
func (g *Gateway) refuseWith(call *Call, reason string, after time.Duration, fields ...zap.Field) answer.Answer {
	refusedCount.Add(1)
	common := []zap.Field{zap.String("request", call.ID), zap.String("reason", reason), zap.Duration("retryAfter", after)}
	g.log.Info("request refused", append(common, fields...)...)
	header := g.ownHeader(call)
	header.Set("Retry-After", formatSeconds(after))
	return answer.Text(http.StatusServiceUnavailable, header, reason)
}

// sweepInterval is the interval between two sweeps of idle connections.
const sweepInterval = 500 * time.Millisecond

// Run maintains the connections and this entry's share of the repeat budget until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	var duties sync.WaitGroup
	defer duties.Wait()
	duties.Go(func() { g.strikes.run(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.mesh.Documents().Changed():
			// The reports of the agents should be available before the first request that needs
			// them.
			g.servers.start(ctx)
		case now := <-ticker.C:
			g.pool.Sweep(now, g.servers.keep)
			g.budget.observeMesh()
			g.backlogs.sweep(now)
			g.reportStart(now)
		}
	}
}
