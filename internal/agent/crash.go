package agent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

var (
	crashCount           = telemetry.Counter("agent_engine_crashes")
	crashUnreportedCount = telemetry.Counter("agent_engine_crashes_unreported")
)

// crashReportTimeout bounds how long the requests of a crashed engine wait
// until the crash is known to all entries. Without it a resend through another
// entry could crash a further engine before anybody suspects it.
const crashReportTimeout = time.Second

// Suspicions takes reports of crashes to the replicated log.
type Suspicions interface {
	Suspect(ctx context.Context, command suspicion.Command) (suspicion.Verdict, error)
}

// crashes notices that the engine crashed, once for all requests that were on it.
type crashes struct {
	mu sync.Mutex
	// epoch counts crashes; a request belongs to the epoch in which it began.
	epoch uint64
	// reported is closed when the last crash is in the log or given up.
	reported chan struct{}
}

func (c *crashes) current() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch
}

// begin ends an epoch. first is true for the request that is to report it.
func (c *crashes) begin(epoch uint64) (first bool, reported chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch < c.epoch {
		return false, c.reported
	}
	c.epoch++
	c.reported = make(chan struct{})
	return true, c.reported
}

// engineCrashed says whether a request failed because the engine crashed, and
// returns once that is reported.
func (a *Agent) engineCrashed(ctx context.Context, failed *run) bool {
	if ctx.Err() != nil || !a.engineGone(ctx, failed) {
		return false
	}
	first, reported := a.crashes.begin(failed.epoch)
	if first {
		a.reportCrash(ctx, failed.epoch)
		close(reported)
	}
	select {
	case <-reported:
	case <-ctx.Done():
	}
	return true
}

// engineGone asks the engine. One that answers in the incarnation in which the
// request began has only failed the request.
func (a *Agent) engineGone(ctx context.Context, failed *run) bool {
	report, err := a.orders.report(ctx)
	return err != nil || failed.incarnation != 0 && report.Incarnation != failed.incarnation
}

func (a *Agent) reportCrash(ctx context.Context, epoch uint64) {
	crashCount.Add(1)
	crash := suspicion.Crash{Server: a.options.Server, Incarnation: uint64(time.Now().UnixNano()), Fingerprints: a.runs.unfinished(epoch)}
	a.log.Warn("engine crashed", zap.Int("requests", len(crash.Fingerprints)))
	if a.options.Suspicions == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashReportTimeout)
	defer cancel()
	if _, err := a.options.Suspicions.Suspect(ctx, suspicion.Command{Crash: &crash}); err != nil {
		crashUnreportedCount.Add(1)
	}
}

// unfinished are the distinct requests of an epoch that are at the engine still.
// Those that a crash cut off count, because they end only when it is reported.
// One that ended before in any way does not: a request that the engine refused
// would pass for a neighbour of a suspect that ran alone, and the suspect would
// not be convicted.
func (s *runs) unfinished(epoch uint64) []suspicion.Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[suspicion.Fingerprint]struct{})
	var all []suspicion.Fingerprint
	for _, r := range s.byID {
		_, known := seen[r.fingerprint]
		if known || r.epoch != epoch || r.fingerprint == "" || r.ended() {
			continue
		}
		seen[r.fingerprint] = struct{}{}
		all = append(all, r.fingerprint)
	}
	return all
}
