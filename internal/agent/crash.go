package agent

import (
	"context"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

var (
	crashCount           = telemetry.Counter("agent_engine_crashes")
	crashUnreportedCount = telemetry.Counter("agent_engine_crashes_unreported")
)

// crashReportTimeout is the maximum time for which the requests of a crashed
// engine wait until all entries know of the crash. Without the wait, a retry
// through another entry could crash a second engine before the request is
// suspected.
const crashReportTimeout = time.Second

// Suspicions appends crash reports to the replicated log.
type Suspicions interface {
	Suspect(ctx context.Context, command suspicion.Command) (suspicion.Verdict, error)
}

// crashes deduplicates engine crashes: all requests that were running when the
// engine crashed count as one crash.
type crashes struct {
	mu sync.Mutex
	// epoch counts crashes. A request belongs to the epoch in which it started.
	epoch uint64
	// reported is closed when the last crash is in the log or its report has
	// failed.
	reported chan struct{}
}

func (c *crashes) current() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch
}

// record counts the crash that ended the given epoch. first is true for the one
// request that must report it; reported is closed after that report.
func (c *crashes) record(epoch uint64) (first bool, reported chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch < c.epoch {
		return false, c.reported
	}
	c.epoch++
	c.reported = make(chan struct{})
	return true, c.reported
}

// engineCrashed reports whether a request failed because the engine crashed. It
// returns after the crash has been reported.
func (a *Agent) engineCrashed(ctx context.Context, failed *run) bool {
	if ctx.Err() != nil || !a.incarnationEnded(ctx, failed) {
		return false
	}
	first, reported := a.crashes.record(failed.epoch)
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

// incarnationEnded queries the engine and reports whether the incarnation in
// which the request started has ended: nothing listens at its address, or it
// reports another incarnation. If the engine answers in the same incarnation,
// only the request has failed. An engine that stands still does not answer
// either, and has not crashed.
func (a *Agent) incarnationEnded(ctx context.Context, failed *run) bool {
	report, err := a.orders.report(ctx)
	// An engine that is ending may still accept connections, and break them; a later report shows that
	// it has ended.
	for pause := firstReportPause; brokeOff(err) && pause <= lastReportPause && wait.For(ctx, pause) == nil; pause *= 2 {
		report, err = a.orders.report(ctx)
	}
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return failed.incarnation != 0 && report.Incarnation != failed.incarnation
}

// firstReportPause and lastReportPause bound the pauses between reports of an engine that breaks them
// off; they double.
const (
	firstReportPause = 5 * time.Millisecond
	lastReportPause  = 320 * time.Millisecond
)

// brokeOff reports whether a connection was accepted and ended without an answer, which net/http
// reports in several ways, one of them without a type.
func brokeOff(err error) bool {
	var failed *url.Error
	return errors.As(err, &failed) && !failed.Timeout() && !errors.Is(err, syscall.ECONNREFUSED)
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

// unfinished returns the distinct fingerprints of an epoch's requests that are
// still at the engine. Requests cut off by a crash are included, because they
// end only after the crash is reported. Requests that ended earlier are
// excluded: a request that the engine refused would count as running
// concurrently with a suspect that in fact ran alone, and the suspect would not
// be convicted.
func (s *runs) unfinished(epoch uint64) []suspicion.Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[suspicion.Fingerprint]struct{})
	var fingerprints []suspicion.Fingerprint
	for _, r := range s.byID {
		_, known := seen[r.fingerprint]
		if known || r.epoch != epoch || r.fingerprint == "" || r.ended() {
			continue
		}
		seen[r.fingerprint] = struct{}{}
		fingerprints = append(fingerprints, r.fingerprint)
	}
	return fingerprints
}
