package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/interim"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// start sends a request to the engine. The request's adapter must be pinned.
func (a *Agent) start(r *http.Request, ref catalogue.Ref, body []byte, done func()) *run {
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	request := r.Header.Get(wire.HeaderRequestID)
	if request == "" {
		request = uuid.NewString()
	}
	started := &run{
		request: request, ref: ref, cancel: cancel, window: newWindow(), ready: make(chan struct{}),
		fingerprint: suspicion.Fingerprint(r.Header.Get(wire.HeaderFingerprint)),
		epoch:       a.crashes.current(),
		incarnation: a.incarnation.Load(),
	}
	leave := a.joinRun()
	started.settle = sync.OnceFunc(leave)
	// An entry can ask for the answer as soon as the run is registered.
	started.lease = time.AfterFunc(reattachLease, func() { a.abandon(started) })
	started.lease.Stop()
	a.runs.add(started)
	go func() {
		defer leave()
		defer done()
		defer cancel()
		a.execute(ctx, started, r, body)
	}()
	return started
}

// joinRun counts a run as in flight until leave has been called twice: at the end of the
// engine's work and once the answer is settled.
func (a *Agent) joinRun() (leave func()) {
	a.gate.Join()
	var open atomic.Int32
	open.Store(2)
	return func() {
		if open.Add(-1) == 0 {
			a.gate.Leave()
		}
	}
}

// abandon ends a run that has had no reader for the time of a lease.
func (a *Agent) abandon(r *run) {
	a.runs.remove(r)
	r.settle()
	if r.ended() {
		return
	}
	abandonedCount.Add(1)
	r.cancel()
}

// execute sends the request to the engine and copies the answer into the run's
// window.
func (a *Agent) execute(ctx context.Context, started *run, r *http.Request, body []byte) {
	ctx, span := telemetry.StartClient(ctx, telemetry.SpanAgentEngine)
	defer span.End()
	response, err := a.callEngine(ctx, r, body)
	if err != nil {
		a.failUnanswered(ctx, started, outcome.Decide(outcome.Evidence{Sent: relay.Sent(err)}))
		return
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		a.sendPriority(adapterLost{ref: started.ref})
		started.refuse("the engine lost the adapter")
		return
	}
	if !interim.IsFinal(response.StatusCode) {
		// An answer without a final status cannot be passed on.
		a.failUnanswered(ctx, started, outcome.Unknown)
		return
	}
	content := io.Reader(response.Body)
	if succeeded := response.StatusCode < http.StatusBadRequest; succeeded {
		model, full, err := relay.PeekModel(response.Body)
		if err != nil {
			a.failUnanswered(ctx, started, outcome.Unknown)
			return
		}
		if model != started.ref.String() {
			wrongModelCount.Add(1)
			started.finishUnanswered(outcome.Unknown, false)
			return
		}
		content = full
		response.Header.Set(wire.HeaderServedModel, model)
	}
	started.setHead(runHead{outcome: outcome.Answered, status: response.StatusCode, header: response.Header, length: response.ContentLength})
	if err := started.pump(ctx, relay.VerifyEnd(response, content), response); err != nil {
		a.failTruncated(ctx, started)
	}
}

// failUnanswered ends a run without an answer to relay.
func (a *Agent) failUnanswered(ctx context.Context, r *run, result outcome.Outcome) {
	crashed := result != outcome.NotRun && a.engineCrashed(ctx, r)
	r.finishUnanswered(result, crashed)
}

// failTruncated ends a run with an answer that was truncated.
func (a *Agent) failTruncated(ctx context.Context, r *run) {
	if ctx.Err() == nil {
		engineFailCount.Add(1)
	}
	crashed := a.engineCrashed(ctx, r)
	r.mu.Lock()
	r.head.crashed = crashed
	r.mu.Unlock()
	r.window.finish(errAnswerTruncated)
}

func (a *Agent) callEngine(ctx context.Context, r *http.Request, body []byte) (*http.Response, error) {
	request, err := relay.NewRequest(ctx, r.Method, a.options.Engine+r.URL.Path, bytes.NewReader(body), int64(len(body)))
	if err != nil {
		return nil, err
	}
	relay.CopyHeader(request.Header, r.Header)
	// In a compressed answer the model name could not be checked.
	request.Header.Del("Accept-Encoding")
	// Engines do not identify the request in their answers. The connection is
	// not reused, so that a late duplicate of an answer is not taken for the
	// answer to another request.
	request.Close = true
	telemetry.Inject(ctx, request.Header)
	return a.client.Do(request)
}
