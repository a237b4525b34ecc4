// Package fleet runs one process of a deployment whose processes find each
// other by seeds: an entry, or an agent beside an engine. How callers, servers
// and operators speak is the Platform's matter.
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

	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/gateway"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/settings"
	"github.com/rosemarypass/rosemarypass/internal/sidecar"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// Roles of a process.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

const (
	// balancerNotice is how long the balancer may still send callers here after
	// the first answer that this entry is not ready: two questions a second
	// apart, and a connection under way.
	balancerNotice = 2300 * time.Millisecond
	// stopMargin is kept from the time that a stop may take.
	stopMargin = 500 * time.Millisecond
	// headerTimeout bounds a caller's header, idleTimeout an idle connection;
	// both lie above what configurations allow callers.
	headerTimeout = 30 * time.Second
	idleTimeout   = 10 * time.Minute
	// headerBytes bounds a header.
	headerBytes = 256 << 10
	// versionGraceShare is the part of the time in which a named version must
	// be in force for which the old one may still be started.
	versionGraceShare = 0.4
	// memoryShare of the limit is the collector's goal.
	memoryShare = 0.7
	// garbagePercent is how much garbage may pile up beside what is in use, in
	// percent of it. The peak is paid for, and collecting takes little of a core.
	garbagePercent = 35
)

// Platform translates between a deployment's protocol and the product.
type Platform struct {
	// Edge reads and writes the headers of requests, Decode configurations.
	Edge   gateway.Edge
	Decode mesh.Decode
	// Control serves backend servers and operators.
	Control func(m *mesh.Mesh, log *zap.Logger) http.Handler
	// Engine speaks to the engine at an address.
	Engine func(address string) sidecar.Engine
	// ReadyPath is where the balancer asks whether an entry is ready.
	ReadyPath string
}

// process is one running process.
type process struct {
	platform Platform
	settings settings.Fleet
	log      *zap.Logger
	mesh     *mesh.Mesh
	gateway  *gateway.Gateway
	callers  *http.Server
	duties   sync.WaitGroup
}

// linesDropped counts lines that the bounded log left out.
var linesDropped = telemetry.Counter("log_lines_dropped")

// Run runs a role by the settings at a path until the platform stops the
// process.
func Run(role, path string, platform Platform) error {
	// A change of the settings may be told at any time; who does not listen for it is
	// ended by it.
	changes := make(chan os.Signal, 1)
	signal.Notify(changes, syscall.SIGHUP)
	stops := make(chan os.Signal, 1)
	s, err := settings.LoadFleet(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimit())))
	log := telemetry.NewBoundedLogger(s.Instance, linesDropped)
	defer func() { _ = log.Sync() }()
	p := &process{platform: platform, settings: s, log: log}
	log.Info("start", zap.String("role", role), zap.Strings("seeds", s.Seeds), zap.Bool("bootstrap", s.Bootstrap), zap.String("dataFolder", s.DataFolder))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.start(ctx, role); err != nil {
		log.Error("the start failed", telemetry.Cause(err))
		return err
	}
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	p.duties.Go(func() { p.keepSettings(ctx, path, changes) })
	<-stops
	p.stop(cancel)
	log.Info("stopped")
	return nil
}

func (p *process) start(ctx context.Context, role string) error {
	documents := mesh.NewDocuments(p.platform.Decode, p.log)
	peerAddress := p.peerAddress(role)
	p.mesh = mesh.New(mesh.Options{
		Self: mesh.Process{
			Name: p.settings.Instance, Address: peerAddress, DataCentre: p.settings.DataCentre,
			Entry: role == RoleEntry, Disk: p.settings.DataFolder != "", Started: time.Now().UnixNano(),
		},
		Seeds: p.peerSeeds(p.settings.Seeds), Bootstrap: p.settings.Bootstrap, Folder: p.settings.DataFolder, Losses: p.settings.ToleratedLosses,
	}, documents, p.log)
	handlers := p.mesh.Handlers()
	switch role {
	case RoleEntry:
		if err := p.startEntry(ctx); err != nil {
			return err
		}
	case RoleAgent:
		s := sidecar.New(sidecar.Options{
			Name: p.settings.Instance, Service: p.settings.Service,
			VersionGrace: time.Duration(versionGraceShare * float64(p.settings.MaxVersionDelay())), Permit: p.mesh.Permit,
		}, p.platform.Engine(p.settings.Engine), documents, p.log)
		maps.Copy(handlers, s.Handlers())
		p.duties.Go(func() { s.Run(ctx) })
	default:
		return errors.Errorf("role %q is neither %s nor %s", role, RoleEntry, RoleAgent)
	}
	if err := p.startStatus(); err != nil {
		return err
	}
	listener, err := mesh.Listen(peerAddress)
	if err != nil {
		return err
	}
	server := rpc.NewServer(handlers)
	p.duties.Go(func() { _ = server.Serve(ctx, listener) })
	p.duties.Go(func() {
		<-ctx.Done()
		_ = listener.Close()
		server.Close()
	})
	p.duties.Go(func() { p.mesh.Run(ctx) })
	return nil
}

// peerAddress is where other processes call this one. An agent may share its
// machine with nothing else of ours, so each role has a port of its own.
func (p *process) peerAddress(role string) string {
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(p.port(role)))
}

func (p *process) port(role string) int {
	if role == RoleAgent {
		return p.settings.PeerPorts[0] + 1
	}
	return p.settings.PeerPorts[0]
}

// peerSeeds turns control addresses into those for traffic between processes.
func (p *process) peerSeeds(seeds []string) []string {
	var peers []string
	for _, seed := range seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			peers = append(peers, net.JoinHostPort(host, strconv.Itoa(p.port(RoleEntry))))
		}
	}
	return peers
}

func (p *process) startEntry(ctx context.Context) error {
	p.gateway = gateway.New(gateway.Options{
		DataCentre: p.settings.DataCentre, AgentPort: strconv.Itoa(p.port(RoleAgent)),
		RepeatRatio: p.settings.RepeatRatio, RepeatSlack: p.settings.RepeatSlack, RepeatWindow: p.settings.RepeatWindow(),
		Heartbeat: p.settings.Heartbeat(), StopWithin: p.settings.StopTimeout() - stopMargin, Newest: p.mesh.Newest,
	}, p.platform.Edge, p.mesh, p.log)
	p.duties.Go(func() { p.gateway.Run(ctx) })
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+p.platform.ReadyPath, p.ready)
	if _, err := p.serve(p.settings.ReadyListen, ready); err != nil {
		return err
	}
	if _, err := p.serve(p.settings.ControlListen, p.platform.Control(p.mesh, p.log)); err != nil {
		return err
	}
	callers, err := p.serve(p.settings.CallerListen, p.gateway)
	p.callers = callers
	return err
}

// startStatus serves counters and histograms to the platform and operators.
func (p *process) startStatus() error {
	status := http.NewServeMux()
	status.Handle("GET /debug/vars", expvar.Handler())
	status.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	_, err := p.serve(p.settings.StatusListen, status)
	return err
}

func (p *process) ready(w http.ResponseWriter, _ *http.Request) {
	if !p.gateway.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *process) serve(address string, handler http.Handler) (*http.Server, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: zap.NewStdLog(zap.NewNop()), ConnContext: answer.ConnContext,
	}
	p.duties.Go(func() { _ = server.Serve(listener) })
	return server, nil
}

// keepSettings greets new seeds when the settings change, until ctx ends. A stop
// waits for nothing of it: the file may hang, and the mesh may be busy.
func (p *process) keepSettings(ctx context.Context, path string, changes <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes:
		case <-ticker.C:
		}
		p.reload(path)
	}
}

// reloadInterval is how often the settings file is read again: it may change
// without a signal.
const reloadInterval = 2 * time.Second

func (p *process) reload(path string) {
	s, err := settings.LoadFleet(path)
	if err != nil {
		p.log.Warn("the settings cannot be read; the former ones stay", telemetry.Cause(err))
		return
	}
	p.mesh.SetSeeds(p.peerSeeds(s.Seeds))
}

// handOverTimeout bounds the transfer of the log's leadership.
const handOverTimeout = 3 * time.Second

func (p *process) handOver(ctx context.Context) {
	ctx, end := context.WithTimeout(ctx, handOverTimeout)
	defer end()
	p.mesh.Stop(ctx)
}

// stop lets what is under way end.
func (p *process) stop(cancel func()) {
	time.AfterFunc(p.settings.StopTimeout()-stopMargin/2, p.endNow)
	p.log.Info("stop begins")
	ctx, end := context.WithTimeout(context.Background(), p.settings.StopTimeout()-stopMargin)
	defer end()
	if p.gateway != nil {
		p.gateway.Stop()
		// Without a quorum nobody takes the leadership over; callers' requests
		// must have their time all the same.
		go p.handOver(ctx)
		notice := time.NewTimer(balancerNotice)
		<-notice.C
		if err := p.callers.Shutdown(ctx); err != nil {
			p.log.Warn("requests were cut off by the stop", telemetry.Cause(err))
		}
	}
	cancel()
}

// endNow ends a process whose stop has taken all the time that it may: what is still
// under way has been given up, and others wait for its end.
func (p *process) endNow() {
	p.log.Error("the stop has taken all its time", zap.Int("goroutines", runtime.NumGoroutine()))
	_ = p.log.Sync()
	os.Exit(1)
}
