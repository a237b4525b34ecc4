// Package daemon runs the roles configured in the settings in one process and
// shuts them down gracefully.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/control"
	"github.com/rosemarypass/rosemarypass/internal/drain"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/intake"
	"github.com/rosemarypass/rosemarypass/internal/peertls"
	"github.com/rosemarypass/rosemarypass/internal/settings"
	"github.com/rosemarypass/rosemarypass/internal/socket"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// readHeaderTimeout bounds the time a client may take to send its request headers.
const readHeaderTimeout = 10 * time.Second

// stopGrace is how long a listener stays open after its role reports that it is
// not ready, so that the load balancer notices before connections are refused.
const stopGrace = 500 * time.Millisecond

// Settings keys of the listener addresses.
const (
	entryListen    = "entry.listen"
	agentListen    = "agent.listen"
	operatorListen = "control.operatorListen"
	statusListen   = "statusListen"
)

// requestsAborted counts the requests that were aborted because a stop reached its
// deadline.
var requestsAborted = telemetry.Counter("stop_requests_cut")

// Daemon is a process and the roles that it runs.
type Daemon struct {
	settings   settings.Settings
	log        *zap.Logger
	background sync.WaitGroup
	stop       context.CancelFunc
	drains     []func(context.Context)
	control    *control.Control
	// identity secures traffic between processes; nil means plaintext.
	identity *peertls.Identity
	follower *follow.Follower
	// intake bounds what all roles hold of requests that are not answered.
	intake *intake.Budget
	// addresses holds the bound address of each listener by its settings key. It
	// differs from the setting when the setting's port is 0.
	addresses map[string]string
	// readiness holds one check for each role that reports readiness.
	readiness []func() bool
	// aborted is the number of requests that the stop has aborted.
	aborted int
}

// startRole starts a role of a daemon if its settings name the role, and registers how a
// stop drains it.
type startRole func(*Daemon, context.Context) error

// Start opens the listeners and starts the background tasks of every role.
func Start(s settings.Settings, log *zap.Logger) (*Daemon, error) {
	return start(s, log, (*Daemon).loadIdentity, (*Daemon).startStatus, (*Daemon).startControl, (*Daemon).startAgent, (*Daemon).startEntry)
}

func start(s settings.Settings, log *zap.Logger, roles ...startRole) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{settings: s, log: log, stop: cancel, addresses: make(map[string]string), intake: intake.NewBudget(s.RequestMemory(), log)}
	flush, err := telemetry.StartTraces(ctx, telemetry.TraceOptions{
		Target:      telemetry.TraceTarget(s.Telemetry.Traces),
		Path:        s.Telemetry.TraceFile,
		Endpoint:    s.Telemetry.TraceEndpoint,
		Instance:    s.Instance,
		SampleRatio: s.Telemetry.TraceShare,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	// A stop drains in reverse order: the traces of the last requests are flushed too.
	d.drains = append(d.drains, func(ctx context.Context) { _ = flush(ctx) })
	for _, role := range roles {
		if err := role(d, ctx); err != nil {
			d.Stop(ctx)
			return nil, err
		}
	}
	log.Info("started")
	return d, nil
}

// Stop drains the roles in the order entry, agent, control and returns when no
// request is in flight or ctx ends. It returns the number of requests that it
// aborted.
func (d *Daemon) Stop(ctx context.Context) int {
	for i := len(d.drains) - 1; i >= 0; i-- {
		d.drains[i](ctx)
	}
	d.stop()
	d.background.Wait()
	d.log.Info("stopped", zap.Int("cut", d.aborted))
	return d.aborted
}

// Control returns the control role, or nil if this daemon does not run it.
func (d *Daemon) Control() *control.Control { return d.control }

// Follower returns the follower of the entry role, or nil if this daemon does
// not run that role.
func (d *Daemon) Follower() *follow.Follower { return d.follower }

// EntryAddress returns the address of the callers' interface, or "" if this
// daemon does not run the entry role.
func (d *Daemon) EntryAddress() string { return d.addresses[entryListen] }

// listenerWrapper adds transport security to a listener.
type listenerWrapper func(net.Listener) net.Listener

// plaintext returns the listener unchanged.
func plaintext(listener net.Listener) net.Listener { return listener }

// serveHTTP serves handler on address and registers drainRole, which runs before the
// connections are closed.
func (d *Daemon) serveHTTP(setting, address string, wrap listenerWrapper, handler http.Handler, drainRole func(context.Context)) error {
	listener, err := socket.Listen(address, socket.CallerUnread)
	if err != nil {
		return errors.Wrap(err, setting)
	}
	d.addresses[setting] = listener.Addr().String()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ConnContext: answer.ConnContext}
	connections, tracked := drain.Track(server, listener, drain.Limit{
		Connections: d.connectionLimit(setting), Listener: setting, Log: d.log, Intake: d.intake,
	})
	d.background.Go(func() { _ = server.Serve(wrap(tracked)) })
	d.drains = append(d.drains, func(ctx context.Context) {
		drainRole(ctx)
		if err := connections.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	})
	return nil
}

// connectionLimit returns the largest number of connections of a listener.
func (d *Daemon) connectionLimit(setting string) int {
	limits := d.settings.ConnectionLimits()
	switch setting {
	case operatorListen:
		return limits.Operators
	case statusListen:
		return limits.Status
	default:
		return limits.Callers
	}
}

// reportAbortedRequests counts and logs the requests that a stop aborted at its deadline.
func (d *Daemon) reportAbortedRequests(listener string, requests int) {
	if requests == 0 {
		return
	}
	d.aborted += requests
	requestsAborted.Add(int64(requests))
	d.log.Warn("the stop cut requests off", zap.String("listener", listener), zap.Int("requests", requests))
}
