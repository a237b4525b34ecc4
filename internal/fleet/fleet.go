// Package fleet runs one process of a deployment in which processes discover each
// other through seeds: an entry, or an agent next to an engine. The Platform
// implements the protocols of callers, backend servers and operators.
package fleet

import (
	"context"
	"expvar"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/credit"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/drain"
	"github.com/rosemarypass/rosemarypass/internal/gateway"
	"github.com/rosemarypass/rosemarypass/internal/intake"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/settings"
	"github.com/rosemarypass/rosemarypass/internal/sharedlimit"
	"github.com/rosemarypass/rosemarypass/internal/sidecar"
	"github.com/rosemarypass/rosemarypass/internal/socket"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// Roles of a process.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

const (
	// headerTimeout bounds the time to read a caller's request header, idleTimeout
	// the time that a connection may be idle. Both are above the limits that
	// configurations set for callers.
	headerTimeout = 30 * time.Second
	idleTimeout   = 10 * time.Minute
	// ownBodyTimeout bounds the time to read a request that is not a caller's.
	ownBodyTimeout = 30 * time.Second
	// answerMemoryPart is the part of the memory that incomplete answers of servers may take together.
	answerMemoryPart = 8
	// backlogMemoryPart is the divisor of the memory limit that bounds what is held for slow callers.
	backlogMemoryPart = 8
	// maxHeaderBytes bounds the size of a request header.
	maxHeaderBytes = 256 << 10
	// versionGraceRatio is the fraction of the maximum version delay during which
	// the old adapter version may still be started.
	versionGraceRatio = 0.4
	// memoryLimitRatio is the fraction of the process's memory limit that is set
	// as the garbage collector's soft limit.
	memoryLimitRatio = 0.7
	// gcPercent is how much the heap may grow over the live heap before the next
	// garbage collection, in percent. It is low because peak memory is paid for,
	// while collecting takes little CPU time.
	gcPercent = 35
)

// Platform translates between a deployment's protocols and this system.
type Platform struct {
	// Edge reads and writes the headers of requests; Decode decodes configurations.
	Edge   gateway.Edge
	Decode mesh.Decode
	// Control returns the handler that serves backend servers and operators, whose bodies are read within the budget.
	Control func(m *mesh.Mesh, budget *intake.Budget, log *zap.Logger) http.Handler
	// Engine returns a client of the engine at the given address.
	Engine func(address string) sidecar.Engine
	// ReadyPath is the URL path of the load balancer's readiness check of an entry.
	ReadyPath string
}

// process is the running entry or agent with the parts that it consists of.
type process struct {
	platform   Platform
	settings   settings.Fleet
	log        *zap.Logger
	mesh       *mesh.Mesh
	gateway    *gateway.Gateway
	goroutines sync.WaitGroup
	// control are the connections of operators and backend servers. It is set before callers are served.
	control *drain.Connections
	// intake bounds what the process holds of requests that it has not answered.
	intake *intake.Budget
	// connections bounds the connections of each listener.
	connections settings.ConnectionLimits

	// callersMu protects callers, the connections of callers, which is nil before they are served, and
	// stopping, which is set once they must not be served any more.
	callersMu sync.Mutex
	callers   *drain.Connections
	stopping  bool
}

// droppedLines counts the lines that the bounded logger dropped.
var droppedLines = telemetry.Counter("log_lines_dropped")

var callersAccepted = telemetry.ProcessStart().Step("callersAccepted", telemetry.Counter("start_callers_accepted_millis"))

// Run runs a process of the given role with the settings file at path until the
// platform stops the process.
func Run(role, path string, platform Platform) error {
	// The platform may send SIGHUP at any time to announce changed settings. The
	// handler is installed first because an unhandled SIGHUP terminates the process.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	s, err := settings.LoadFleet(path)
	if err != nil {
		return err
	}
	stopSignals := make(chan os.Signal, maxQueuedSignals)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryLimit())))
	log := telemetry.NewSampledLogger(s.Instance, droppedLines)
	defer func() { _ = log.Sync() }()
	p := &process{platform: platform, settings: s, log: log, intake: intake.NewBudget(s.RequestMemory(), log), connections: s.ConnectionLimits()}
	log.Info("start", zap.String("role", role), zap.Strings("seeds", s.Seeds), zap.Bool("bootstrap", s.Bootstrap), zap.String("dataFolder", s.DataFolder))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	started := make(chan error, 1)
	go func() { started <- p.start(ctx, role) }()
	for {
		select {
		case err := <-started:
			if err != nil {
				log.Error("start failed", telemetry.Cause(err))
				return err
			}
			p.goroutines.Go(func() { p.watchSettings(ctx, path, reloadSignals) })
		case received := <-stopSignals:
			go p.reportFurtherSignals(stopSignals)
			p.stop(cancel, received)
			log.Info("stopped")
			return nil
		}
	}
}

// maxQueuedSignals is the number of signals that wait to be reported; more are of no use.
const maxQueuedSignals = 4

func (p *process) start(ctx context.Context, role string) error {
	documents := mesh.NewDocuments(p.platform.Decode, p.log)
	peerAddress := p.peerAddress(role)
	p.mesh = mesh.New(mesh.Options{
		Self: mesh.Process{
			Name: p.settings.Instance, Address: peerAddress, DataCentre: p.settings.DataCentre,
			Entry: role == RoleEntry, Disk: p.settings.DataFolder != "", Started: time.Now().UnixNano(),
		},
		Seeds: p.peerSeeds(p.settings.Seeds), Bootstrap: p.settings.Bootstrap, Folder: p.settings.DataFolder, ToleratedLosses: p.settings.ToleratedLosses,
	}, documents, p.log)
	handlers := p.mesh.Handlers()
	switch role {
	case RoleEntry:
		limits := sharedlimit.New(sharedlimit.Teams, p.settings.TeamLimits(), p.mesh, sharedlimit.TeamLimits(documents), p.log)
		maps.Copy(handlers, limits.Handlers())
		p.goroutines.Go(func() { limits.Run(ctx) })
		turns := sharedlimit.New(sharedlimit.ServerRates, credit.ServerOptions(), p.mesh, sharedlimit.ServerRateLimits(p.mesh), p.log)
		maps.Copy(handlers, turns.Handlers())
		p.goroutines.Go(func() { turns.Run(ctx) })
		if err := p.startEntry(ctx, limits, turns); err != nil {
			return err
		}
	case RoleAgent:
		s := sidecar.New(sidecar.Options{
			Name: p.settings.Instance, Service: p.settings.Service,
			VersionGrace: p.versionGrace(), Permit: p.mesh.Permit,
		}, p.platform.Engine(p.settings.Engine), documents, p.log)
		maps.Copy(handlers, s.Handlers())
		p.goroutines.Go(func() { s.Run(ctx) })
	default:
		return errors.Errorf("role %q is neither %s nor %s", role, RoleEntry, RoleAgent)
	}
	if err := p.startStatus(); err != nil {
		return err
	}
	if err := p.startPeers(ctx, peerAddress, rpc.NewServer(handlers, rpc.WithMaxConns(p.connections.Peers), rpc.WithLog(p.log))); err != nil {
		return err
	}
	if role == RoleEntry {
		return p.serveCallers()
	}
	return nil
}

// versionGrace returns how long requests may start on an adapter's old version after a newer one was announced.
func (p *process) versionGrace() time.Duration {
	return time.Duration(versionGraceRatio * float64(p.settings.MaxVersionDelay()))
}

// startPeers serves other processes and takes part in the mesh.
func (p *process) startPeers(ctx context.Context, address string, server *rpc.Server) error {
	listener, err := mesh.Listen(address)
	if err != nil {
		return err
	}
	p.goroutines.Go(func() { _ = server.Serve(ctx, listener) })
	p.goroutines.Go(func() {
		<-ctx.Done()
		_ = listener.Close()
		server.Close()
	})
	p.goroutines.Go(func() { p.mesh.Run(ctx) })
	return nil
}

// peerAddress returns the address at which other processes call this one. Each
// role has its own fixed port, which suffices because an agent does not share its
// machine with other processes of the system.
func (p *process) peerAddress(role string) string {
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(p.port(role)))
}

func (p *process) port(role string) int {
	if role == RoleAgent {
		return p.settings.PeerPorts[0] + 1
	}
	return p.settings.PeerPorts[0]
}

// peerSeeds converts the control addresses of seeds to their addresses for traffic
// between processes.
func (p *process) peerSeeds(seeds []string) []string {
	var peers []string
	for _, seed := range seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			peers = append(peers, net.JoinHostPort(host, strconv.Itoa(p.port(RoleEntry))))
		}
	}
	return peers
}

func (p *process) startEntry(ctx context.Context, limits, turns *sharedlimit.Limits) error {
	p.gateway = gateway.New(gateway.Options{
		DataCentre: p.settings.DataCentre, AgentPort: strconv.Itoa(p.port(RoleAgent)),
		RepeatRatio: p.settings.RepeatRatio, RepeatSlack: p.settings.RepeatSlack, RepeatWindow: p.settings.RepeatWindow(),
		Restarted: !p.settings.Bootstrap, VersionGrace: p.versionGrace(),
		Heartbeat: p.settings.Heartbeat(), StopTimeout: p.settings.StopTimeout() - stopMargin, ConfirmNewest: p.mesh.ConfirmNewest, Limits: limits, Turns: turns, AnswerBytes: p.settings.MemoryLimit() / answerMemoryPart,
		BacklogBytes: p.settings.NamedMemory() / backlogMemoryPart, Intake: p.intake,
	}, p.platform.Edge, p.mesh, p.log)
	p.goroutines.Go(func() { p.gateway.Run(ctx) })
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+p.platform.ReadyPath, p.ready)
	if _, err := p.serve(p.settings.ReadyListen, ready, ownBodyTimeout, p.limit("ready", p.connections.Status)); err != nil {
		return err
	}
	control, err := p.serve(p.settings.ControlListen, p.platform.Control(p.mesh, p.intake, p.log), ownBodyTimeout, p.limit("control", p.connections.Operators))
	p.control = control
	return err
}

// serveCallers serves callers, unless the process has been told to stop. It is the last step of a start:
// until then a stop has nobody to wait for.
func (p *process) serveCallers() error {
	p.callersMu.Lock()
	defer p.callersMu.Unlock()
	if p.stopping {
		return nil
	}
	callers, err := p.serve(p.settings.CallerListen, p.gateway, 0, p.limit("callers", p.connections.Callers))
	p.callers = callers
	if err == nil {
		callersAccepted.Reach()
	}
	return err
}

// beginStop returns the connections of the callers that a stop waits for; nil where none is served, and
// none will be.
func (p *process) beginStop() *drain.Connections {
	p.callersMu.Lock()
	defer p.callersMu.Unlock()
	p.stopping = true
	return p.callers
}

// startStatus starts serving counters, histograms and a health check to the
// platform and operators.
func (p *process) startStatus() error {
	status := http.NewServeMux()
	status.Handle("GET /debug/vars", expvar.Handler())
	status.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	_, err := p.serve(p.settings.StatusListen, status, ownBodyTimeout, p.limit("status", p.connections.Status))
	return err
}

func (p *process) ready(w http.ResponseWriter, _ *http.Request) {
	if !p.gateway.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serve serves an address. readTimeout bounds the time to read a request, 0 where the handler does.
func (p *process) serve(address string, handler http.Handler, readTimeout time.Duration, limit drain.Limit) (*drain.Connections, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := socket.Listen(address, socket.CallerUnread)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	server := &http.Server{
		Handler: p.reportPanics(handler), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: p.serverErrors(), ConnContext: answer.ConnContext,
	}
	connections, tracked := drain.Track(server, listener, limit)
	p.goroutines.Go(func() { _ = server.Serve(tracked) })
	return connections, nil
}

// limit returns the limit of a listener's connections.
func (p *process) limit(listener string, connections int) drain.Limit {
	return drain.Limit{Connections: connections, Listener: listener, Log: p.log, Intake: p.intake}
}

// watchSettings reloads the settings on each signal and periodically, until ctx
// ends, so that the mesh contacts new seeds. A stop does not wait for a reload in
// progress: reading the file may hang, and the mesh may be busy.
func (p *process) watchSettings(ctx context.Context, path string, reloadSignals <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
		case <-ticker.C:
		}
		p.reload(path)
	}
}

// reloadInterval is the interval between reloads of the settings file, which may
// change without a signal.
const reloadInterval = 2 * time.Second

func (p *process) reload(path string) {
	s, err := settings.LoadFleet(path)
	if err != nil {
		p.log.Warn("the settings cannot be read; keeping the previous ones", telemetry.Cause(err))
		return
	}
	p.mesh.AddSeeds(p.peerSeeds(s.Seeds))
}
