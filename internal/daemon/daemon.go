// Package daemon wires the roles that the settings name into one process and
// stops them gracefully.
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
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/peertls"
	"github.com/rosemarypass/rosemarypass/internal/settings"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// readHeaderTimeout bounds how long a peer may take to send its headers.
const readHeaderTimeout = 10 * time.Second

// stopGrace is how long an entry keeps its listener open after it reports that
// it is not ready, so that the balancer sees it before connections are refused.
const stopGrace = 500 * time.Millisecond

// Settings that name a listener's address.
const (
	entryListen    = "entry.listen"
	agentListen    = "agent.listen"
	operatorListen = "control.operatorListen"
	statusListen   = "statusListen"
)

// cutByStop counts requests that a stop cut off at its deadline.
var cutByStop = telemetry.Counter("stop_requests_cut")

// Daemon is one process with its roles.
type Daemon struct {
	settings settings.Settings
	log      *zap.Logger
	duties   sync.WaitGroup
	stop     context.CancelFunc
	drains   []func(context.Context)
	control  *control.Control
	// identity secures traffic between processes; nil is plaintext.
	identity *peertls.Identity
	follower *follow.Follower
	// addresses are the listeners' actual addresses, by setting; they differ
	// from the settings when those leave the port to the system.
	addresses map[string]string
	// readiness holds one check for each role that can be unready.
	readiness []func() bool
	// cut counts the requests that the stop cut off.
	cut int
}

// Start opens the listeners and starts the duties of every role.
func Start(s settings.Settings, log *zap.Logger) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{settings: s, log: log, stop: cancel, addresses: make(map[string]string)}
	flush, err := telemetry.StartTraces(ctx, telemetry.TraceOptions{
		Target:   telemetry.TraceTarget(s.Telemetry.Traces),
		Path:     s.Telemetry.TraceFile,
		Endpoint: s.Telemetry.TraceEndpoint,
		Instance: s.Instance,
		Share:    s.Telemetry.TraceShare,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	starts := []func(context.Context) error{d.loadIdentity, d.startStatus, d.startControl, d.startAgent, d.startEntry}
	for _, start := range starts {
		if err := start(ctx); err != nil {
			d.Stop(ctx)
			return nil, err
		}
	}
	d.drains = append(d.drains, func(ctx context.Context) { _ = flush(ctx) })
	log.Info("started")
	return d, nil
}

// Stop drains every role in the order entry, agent, control and returns when
// nothing is in flight or ctx ends. It says how many requests it cut off.
func (d *Daemon) Stop(ctx context.Context) int {
	for i := len(d.drains) - 1; i >= 0; i-- {
		d.drains[i](ctx)
	}
	d.stop()
	d.duties.Wait()
	d.log.Info("stopped", zap.Int("cut", d.cut))
	return d.cut
}

// Control is the control role, nil when this daemon has none.
func (d *Daemon) Control() *control.Control { return d.control }

// Follower is what the entry role follows, nil when this daemon has none.
func (d *Daemon) Follower() *follow.Follower { return d.follower }

// EntryAddress is the address of the callers' interface, empty without the
// entry role.
func (d *Daemon) EntryAddress() string { return d.addresses[entryListen] }

// wrapper secures a listener.
type wrapper func(net.Listener) net.Listener

// plain leaves a listener as it is.
func plain(listener net.Listener) net.Listener { return listener }

// serveHTTP serves a handler and registers its drain, which runs before the
// server shuts down.
func (d *Daemon) serveHTTP(setting, address string, wrap wrapper, handler http.Handler, drain func(context.Context)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, setting)
	}
	d.addresses[setting] = listener.Addr().String()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ConnContext: answer.ConnContext}
	d.duties.Go(func() { _ = server.Serve(wrap(listener)) })
	d.drains = append(d.drains, func(ctx context.Context) {
		drain(ctx)
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	})
	return nil
}

// reportCut tells an operator what a stop could not finish in its time.
func (d *Daemon) reportCut(listener string, requests int) {
	if requests == 0 {
		return
	}
	d.cut += requests
	cutByStop.Add(int64(requests))
	d.log.Warn("the stop cut requests off", zap.String("listener", listener), zap.Int("requests", requests))
}
