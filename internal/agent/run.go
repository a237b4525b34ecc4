package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	// wrongModelCount counts answers that the engine gave by another model
	// than the request asked for; they are never relayed.
	wrongModelCount  = telemetry.Counter("agent_wrong_model")
	resumedCount     = telemetry.Counter("agent_answers_resumed")
	abandonedCount   = telemetry.Counter("agent_answers_abandoned")
	cancelledCount   = telemetry.Counter("agent_answers_cancelled")
	engineFailCount  = telemetry.Counter("agent_engine_failures")
	errEngineStopped = errors.New("the engine's answer ended early")
)

// reattachLease is how long a request runs on without a reader. An entry that
// lost its connection is back within a few round trips; a caller that left is
// reported by its entry, and the lease ends the work when that report is lost.
const reattachLease = 2 * time.Second

// run is one request at the engine. It outlives the connection that brought it,
// so that an answer cut between entry and agent goes on where it stopped.
type run struct {
	request string
	ref     catalogue.Ref
	// fingerprint identifies the request when it is suspected of a crash;
	// epoch and incarnation are those of the engine when it began.
	fingerprint suspicion.Fingerprint
	epoch       uint64
	incarnation uint64
	cancel      context.CancelFunc
	// kept is the part of the answer that is kept.
	kept *window
	// ready is closed when head is set.
	ready chan struct{}
	head  runHead

	mu      sync.Mutex
	readers int
	// lease ends the run when it has no reader.
	lease *time.Timer
}

// runHead is what precedes an answer's body.
type runHead struct {
	said    outcome.Outcome
	status  int
	header  http.Header
	trailer http.Header
	// length is the body's as the engine declared it, in bytes, below 0 for none.
	length  int64
	message string
	// crashed is true when the engine crashed with the request on it.
	crashed bool
}

// runs are the requests at the engine, and for a lease those that ended.
type runs struct {
	mu   sync.Mutex
	byID map[string]*run
}

func newRuns() *runs { return &runs{byID: make(map[string]*run)} }

// add makes r the run of its id. An entry that sends a request again has given
// up the one before, which is cancelled.
func (s *runs) add(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before, ok := s.byID[r.request]; ok {
		before.cancel()
	}
	s.byID[r.request] = r
}

func (s *runs) get(request string) (*run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byID[request]
	return r, ok
}

func (s *runs) remove(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[r.request] == r {
		delete(s.byID, r.request)
	}
}

// start sends a request whose adapter is pinned to the engine.
func (a *Agent) start(r *http.Request, ref catalogue.Ref, body []byte, done func()) *run {
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	request := r.Header.Get(wire.HeaderRequestID)
	if request == "" {
		request = uuid.NewString()
	}
	started := &run{
		request: request, ref: ref, cancel: cancel, kept: newWindow(), ready: make(chan struct{}),
		fingerprint: suspicion.Fingerprint(r.Header.Get(wire.HeaderFingerprint)),
		epoch:       a.crashes.current(),
		incarnation: a.incarnation.Load(),
	}
	a.runs.add(started)
	started.lease = time.AfterFunc(reattachLease, func() { a.abandon(started) })
	started.lease.Stop()
	a.gate.Join()
	go func() {
		defer a.gate.Leave()
		defer done()
		defer cancel()
		a.engage(ctx, started, r, body)
	}()
	return started
}

// abandon ends a run that has had no reader for a lease.
func (a *Agent) abandon(r *run) {
	a.runs.remove(r)
	if r.ended() {
		return
	}
	abandonedCount.Add(1)
	r.cancel()
}

// engage carries the engine's answer into the run's window.
func (a *Agent) engage(ctx context.Context, started *run, r *http.Request, body []byte) {
	ctx, span := telemetry.StartClient(ctx, telemetry.SpanAgentEngine)
	defer span.End()
	response, err := a.ask(ctx, r, body)
	if err != nil {
		a.failed(ctx, started, outcome.Decide(outcome.Evidence{Sent: relay.Sent(err)}))
		return
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		a.sendEnd(adapterLost{ref: started.ref})
		started.refuse("the engine lost the adapter")
		return
	}
	answer := io.Reader(response.Body)
	if succeeded := response.StatusCode < http.StatusBadRequest; succeeded {
		ran, whole, err := relay.PeekModel(response.Body)
		if err != nil {
			a.failed(ctx, started, outcome.Unknown)
			return
		}
		if ran != started.ref.String() {
			wrongModelCount.Add(1)
			started.noAnswer(outcome.Unknown, false)
			return
		}
		answer = whole
		response.Header.Set(wire.HeaderRan, ran)
	}
	started.setHead(runHead{said: outcome.Answered, status: response.StatusCode, header: response.Header, length: response.ContentLength})
	if err := started.pump(ctx, relay.VerifyEnd(response, answer), response); err != nil {
		a.cut(ctx, started)
	}
}

// failed ends a run that has no answer to relay.
func (a *Agent) failed(ctx context.Context, r *run, said outcome.Outcome) {
	crashed := said != outcome.NotRun && a.engineCrashed(ctx, r)
	r.noAnswer(said, crashed)
}

// cut ends a run whose answer broke off.
func (a *Agent) cut(ctx context.Context, r *run) {
	if ctx.Err() == nil {
		engineFailCount.Add(1)
	}
	crashed := a.engineCrashed(ctx, r)
	r.mu.Lock()
	r.head.crashed = crashed
	r.mu.Unlock()
	r.kept.finish(errEngineStopped)
}

func (a *Agent) ask(ctx context.Context, r *http.Request, body []byte) (*http.Response, error) {
	request, err := relay.NewRequest(ctx, r.Method, a.options.Engine+r.URL.Path, bytes.NewReader(body), int64(len(body)))
	if err != nil {
		return nil, err
	}
	relay.CopyHeader(request.Header, r.Header)
	// A compressed answer would hide the model that it names.
	request.Header.Del("Accept-Encoding")
	// Engines name no request in their answers. One that comes late a second time
	// must find no other request waiting on its connection.
	request.Close = true
	telemetry.Inject(ctx, request.Header)
	return a.client.Do(request)
}

// pump copies the answer into the window until its end, or returns what broke
// it off.
func (r *run) pump(ctx context.Context, answer io.Reader, response *http.Response) error {
	buffer := make([]byte, pumpBuffer)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			if err := r.kept.append(ctx, buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			r.setTrailer(response.Trailer)
			r.kept.finish(nil)
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read from engine")
		}
	}
}

// pumpBuffer is how much of an answer one read may carry, in bytes.
const pumpBuffer = 8 << 10

func (r *run) setHead(head runHead) {
	r.head = head
	close(r.ready)
}

func (r *run) setTrailer(trailer http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head.trailer = trailer
}

// noAnswer ends a run that the engine did not answer.
func (r *run) noAnswer(said outcome.Outcome, crashed bool) {
	if said == outcome.NotRun {
		r.refuse("the engine cannot be reached")
		return
	}
	unknownCount.Add(1)
	r.kept.finish(errEngineStopped)
	r.setHead(runHead{said: outcome.Unknown, status: http.StatusBadGateway, message: "the engine gave no usable answer", crashed: crashed})
}

func (r *run) refuse(message string) {
	refusedCount.Add(1)
	r.kept.finish(errEngineStopped)
	r.setHead(runHead{said: outcome.NotRun, status: http.StatusServiceUnavailable, message: message})
}

func (r *run) ended() bool {
	r.kept.mu.Lock()
	defer r.kept.mu.Unlock()
	return r.kept.done
}

// enter and leave count the connections that read the run's answer.
func (r *run) enter() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	r.lease.Stop()
}

func (r *run) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers == 0 {
		r.lease.Reset(reattachLease)
	}
}

// answerFrom is a run's answer from an offset on. It is none when ctx, that of
// its reader, ends first; where the engine's answer ends early it is cut.
func (r *run) answerFrom(ctx context.Context, offset int64) answer.Answer {
	r.enter()
	select {
	case <-r.ready:
	case <-ctx.Done():
		r.leave()
		return answer.Answer{}
	}
	if r.head.said != outcome.Answered {
		r.leave()
		return r.head.unanswered()
	}
	reader, err := r.kept.attach(offset)
	if err != nil {
		r.leave()
		return r.notKept(err)
	}
	header := make(http.Header)
	relay.CopyHeader(header, r.head.header)
	header.Set(outcome.Header, outcome.Answered.String())
	stream := answer.Stream(r.head.status, header, func(pass answer.Pass) answer.End {
		defer r.leave()
		return r.feed(ctx, reader, offset, pass)
	})
	if r.head.length < 0 {
		return stream
	}
	return stream.WithLength(r.head.length - offset)
}

// feed passes on what the window holds from an offset on, as it comes.
func (r *run) feed(ctx context.Context, reader uint64, offset int64, pass answer.Pass) answer.End {
	buffer := make([]byte, pumpBuffer)
	for {
		n, err := r.kept.next(ctx, reader, offset, buffer)
		if err == io.EOF {
			return answer.Complete(r.trailer())
		}
		if err != nil || pass(buffer[:n]) != nil {
			return answer.Cut
		}
		offset += int64(n)
	}
}

func (r *run) trailer() http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.head.trailer
}

// notKept answers for a part of the answer that cannot be had any more.
func (r *run) notKept(err error) answer.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	head := runHead{said: outcome.Unknown, status: http.StatusGone, message: err.Error(), crashed: r.head.crashed}
	return head.unanswered()
}

// unanswered tells an entry what became of a request without its answer.
func (h runHead) unanswered() answer.Answer {
	header := http.Header{outcome.Header: {h.said.String()}}
	if h.crashed {
		header.Set(wire.HeaderCrashed, "true")
	}
	return answer.Text(h.status, header, h.message)
}

// resume serves an entry whose connection was cut: the rest of its answer.
func (a *Agent) resume(r *http.Request) answer.Answer {
	offset, err := strconv.ParseInt(r.URL.Query().Get(wire.QueryOffset), 10, 64)
	if err != nil || offset < 0 {
		return runHead{said: outcome.Unknown, status: http.StatusBadRequest, message: "an offset is required"}.unanswered()
	}
	found, ok := a.runs.get(chi.URLParam(r, "request"))
	if !ok {
		return runHead{said: outcome.Unknown, status: http.StatusNotFound, message: "no such request"}.unanswered()
	}
	resumedCount.Add(1)
	return found.answerFrom(r.Context(), offset)
}

// cancelRun ends a request whose caller left.
func (a *Agent) cancelRun(r *http.Request) answer.Answer {
	found, ok := a.runs.get(chi.URLParam(r, "request"))
	if ok {
		a.runs.remove(found)
		if !found.ended() {
			cancelledCount.Add(1)
		}
		found.cancel()
	}
	return answer.Full(http.StatusNoContent, nil, nil)
}
