package fleet

import (
	"context"
	"os"
	"runtime"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/drain"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

const (
	// balancerDrainDelay is how long the load balancer may still send callers to
	// this entry after the first readiness check has failed: two checks one second
	// apart, plus a connection that is being established.
	balancerDrainDelay = 2300 * time.Millisecond
	// stopMargin is subtracted from the stop timeout, so that the process exits
	// before the platform's limit.
	stopMargin = 500 * time.Millisecond
	// controlStopTimeout is how long a stop waits for the answers to operators and backend servers. A change is
	// confirmed or given up sooner.
	controlStopTimeout = time.Second
	// leadershipTransferTimeout bounds the transfer of leadership in the replicated log.
	leadershipTransferTimeout = 3 * time.Second
	// maxNamedRequests bounds the requests that a line of a stop names, maxNamedCut those that its last one names:
	// nothing else tells which it cut.
	maxNamedRequests = 16
	maxNamedCut      = 512
)

// stop performs a planned stop: it transfers leadership and lets requests in
// progress finish within the stop timeout.
func (p *process) stop(cancel func(), received os.Signal) {
	began := time.Now()
	time.AfterFunc(p.settings.StopTimeout()-stopMargin/2, p.forceExit)
	ctx, cancelTimeout := context.WithTimeout(context.Background(), p.settings.StopTimeout()-stopMargin)
	defer cancelTimeout()
	if callers := p.beginStop(); callers != nil {
		p.stopEntry(ctx, callers, began)
	} else {
		p.log.Info("stop begins: no callers are served", zap.Stringer("signal", received))
	}
	cancel()
}

func (p *process) stopEntry(ctx context.Context, callers *drain.Connections, began time.Time) {
	p.gateway.Stop()
	p.log.Info("stop begins", p.stopFields(callers, began, maxNamedRequests)...)
	// The transfer runs concurrently: without a quorum it cannot succeed, and it
	// must not reduce the time that callers' requests have left.
	go p.transferLeadership(ctx)
	timer := time.NewTimer(balancerDrainDelay)
	<-timer.C
	p.gateway.EndAdmission()
	p.log.Info("stop accepts no more connections", p.stopFields(callers, began, maxNamedRequests)...)
	err := callers.Shutdown(ctx)
	if err != nil {
		p.log.Warn("requests were cut off by the stop", telemetry.Cause(err))
	}
	controlCtx, cancelControl := context.WithTimeout(ctx, controlStopTimeout)
	defer cancelControl()
	p.stopControl(controlCtx)
	p.log.Info("stop ends", append(p.stopFields(callers, began, maxNamedCut), zap.Bool("inTime", err == nil))...)
}

// stopControl answers the operators and backend servers whose requests were read. They were served for as long as
// callers were.
func (p *process) stopControl(ctx context.Context) {
	if p.control == nil {
		return
	}
	if err := p.control.Shutdown(ctx); err != nil {
		p.log.Info("calls of operators or backend servers were cut off by the stop", telemetry.Cause(err))
	}
}

// stopFields are what tells how far a stop is: the callers' connections by state, and at most named of their requests.
func (p *process) stopFields(callers *drain.Connections, began time.Time, named int) []zap.Field {
	connections := callers.Tally()
	requests := p.gateway.UnderWay(named)
	return []zap.Field{
		zap.Duration("after", time.Since(began)), zap.Int("connections", connections.Open), zap.Int("new", connections.New), zap.Int("active", connections.Active), zap.Int("idle", connections.Idle),
		zap.Int("underWay", requests.Count), zap.Strings("requests", requests.IDs), zap.Int64("ended", requests.Ended), zap.String("lastEnded", requests.LastEnded),
	}
}

// reportFurtherSignals logs the signals that come while a stop is in progress.
func (p *process) reportFurtherSignals(signals <-chan os.Signal) {
	for received := range signals {
		p.log.Info("signal ignored: the stop is in progress", zap.Stringer("signal", received))
	}
}

func (p *process) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	p.mesh.Stop(ctx)
}

// forceExit exits a process whose planned stop has reached the time limit. Work
// still in progress is abandoned, because the platform and other processes wait
// for the exit.
func (p *process) forceExit() {
	p.log.Error("the stop has taken all its time", zap.Int("goroutines", runtime.NumGoroutine()))
	_ = p.log.Sync()
	os.Exit(1)
}
