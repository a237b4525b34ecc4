package agent

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
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
	// wrongModelCount counts answers from a model other than the requested one.
	// They are never relayed.
	wrongModelCount    = telemetry.Counter("agent_wrong_model")
	resumedCount       = telemetry.Counter("agent_answers_resumed")
	abandonedCount     = telemetry.Counter("agent_answers_abandoned")
	cancelledCount     = telemetry.Counter("agent_answers_cancelled")
	engineFailCount    = telemetry.Counter("agent_engine_failures")
	errAnswerTruncated = errors.New("the engine's answer ended early")
)

// reattachLease is how long a request continues without a reader. An entry that
// lost its connection reconnects within a few round trips. If a caller leaves,
// its entry cancels the request; the lease ends the work if that message is
// lost.
const reattachLease = 2 * time.Second

// run is one request at the engine. It is independent of the connection on
// which it arrived, so that an answer interrupted between entry and agent can
// be resumed at the same offset.
type run struct {
	request string
	ref     catalogue.Ref
	// fingerprint identifies the request if it is suspected of a crash. epoch
	// and incarnation are those of the engine when the request started.
	fingerprint suspicion.Fingerprint
	epoch       uint64
	incarnation uint64
	cancel      context.CancelFunc
	// settle tells that nobody will ask for the answer, or for more of it. Until then a
	// stop of the agent waits for the run. Calls after the first have no effect.
	settle func()
	// window holds the retained part of the answer.
	window *window
	// ready is closed when head is set.
	ready chan struct{}
	head  runHead

	mu      sync.Mutex
	readers int
	// lease ends the run when it has had no reader for reattachLease.
	lease *time.Timer
}

// runHead is the part of an answer that precedes its body.
type runHead struct {
	outcome outcome.Outcome
	status  int
	header  http.Header
	trailer http.Header
	// length is the body length declared by the engine, in bytes, or negative
	// if none was declared.
	length  int64
	message string
	// crashed is true if the engine crashed while it ran the request.
	crashed bool
}

// runs holds the requests at the engine and, for the duration of a lease, those
// that have ended.
type runs struct {
	mu   sync.Mutex
	byID map[string]*run
}

func newRuns() *runs { return &runs{byID: make(map[string]*run)} }

// add registers r under its request ID. An entry that sends a request again has
// abandoned the previous run, which is cancelled.
func (s *runs) add(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if previous, ok := s.byID[r.request]; ok {
		previous.cancel()
		previous.settle()
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

// pump copies the answer into the window until its end. It returns the error
// that interrupted it.
func (r *run) pump(ctx context.Context, content io.Reader, response *http.Response) error {
	buffer := make([]byte, pumpBufferSize)
	for {
		n, err := content.Read(buffer)
		if n > 0 {
			if err := r.window.append(ctx, buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			r.setTrailer(response.Trailer)
			r.window.finish(nil)
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read from engine")
		}
	}
}

// pumpBufferSize is the maximum number of bytes of an answer copied per read.
const pumpBufferSize = 8 << 10

func (r *run) setHead(head runHead) {
	r.head = head
	close(r.ready)
}

func (r *run) setTrailer(trailer http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head.trailer = trailer
}

// finishUnanswered ends a run that the engine did not answer.
func (r *run) finishUnanswered(result outcome.Outcome, crashed bool) {
	if result == outcome.NotRun {
		r.refuse("the engine cannot be reached")
		return
	}
	unknownCount.Add(1)
	r.window.finish(errAnswerTruncated)
	r.setHead(runHead{outcome: outcome.Unknown, status: http.StatusBadGateway, message: "the engine gave no usable answer", crashed: crashed})
}

func (r *run) refuse(message string) {
	refusedCount.Add(1)
	r.window.finish(errAnswerTruncated)
	r.setHead(runHead{outcome: outcome.NotRun, status: http.StatusServiceUnavailable, message: message})
}

func (r *run) ended() bool {
	r.window.mu.Lock()
	defer r.window.mu.Unlock()
	return r.window.done
}

// addReader and removeReader count the connections that read the run's answer.
func (r *run) addReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	r.lease.Stop()
}

func (r *run) removeReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers == 0 {
		r.lease.Reset(reattachLease)
	}
}

// answerFrom returns a run's answer from an offset on. It returns the zero
// Answer if ctx, the reader's context, ends before the head is available. If
// the engine's answer is truncated, the returned answer is cut.
func (r *run) answerFrom(ctx context.Context, offset int64) answer.Answer {
	r.addReader()
	select {
	case <-r.ready:
	case <-ctx.Done():
		r.removeReader()
		return answer.Answer{}
	}
	if r.head.outcome != outcome.Answered {
		r.settle()
		r.removeReader()
		return r.head.unanswered()
	}
	reader, err := r.window.attach(offset)
	if err != nil {
		r.settle()
		r.removeReader()
		return r.answerGone(err)
	}
	header := make(http.Header)
	relay.CopyHeader(header, r.head.header)
	header.Set(outcome.Header, outcome.Answered.String())
	stream := answer.Stream(r.head.status, header, func(pass answer.Pass) answer.End {
		defer r.removeReader()
		return r.feed(ctx, reader, offset, pass)
	})
	if r.head.length < 0 {
		return stream
	}
	return stream.WithLength(r.head.length - offset)
}

// feed passes the content of the window from an offset on as it arrives.
func (r *run) feed(ctx context.Context, reader uint64, offset int64, pass answer.Pass) answer.End {
	buffer := make([]byte, pumpBufferSize)
	for {
		n, err := r.window.next(ctx, reader, offset, buffer)
		if err == io.EOF {
			r.settle()
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

// answerGone returns the answer to a request for a part that is no longer
// retained.
func (r *run) answerGone(err error) answer.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	head := runHead{outcome: outcome.Unknown, status: http.StatusGone, message: err.Error(), crashed: r.head.crashed}
	return head.unanswered()
}

// unanswered returns the response that tells an entry the outcome of a request
// without an answer.
func (h runHead) unanswered() answer.Answer {
	header := http.Header{outcome.Header: {h.outcome.String()}}
	if h.crashed {
		header.Set(wire.HeaderCrashed, "true")
	}
	return answer.Text(h.status, header, h.message)
}

// resume serves the rest of an answer to an entry that lost its connection.
func (a *Agent) resume(r *http.Request) answer.Answer {
	offset, err := strconv.ParseInt(r.URL.Query().Get(wire.QueryOffset), 10, 64)
	if err != nil || offset < 0 {
		return runHead{outcome: outcome.Unknown, status: http.StatusBadRequest, message: "an offset is required"}.unanswered()
	}
	found, ok := a.runs.get(chi.URLParam(r, "request"))
	if !ok {
		return runHead{outcome: outcome.Unknown, status: http.StatusNotFound, message: "no such request"}.unanswered()
	}
	resumedCount.Add(1)
	return found.answerFrom(r.Context(), offset)
}

// cancelRun ends a request after its caller has left.
func (a *Agent) cancelRun(r *http.Request) answer.Answer {
	found, ok := a.runs.get(chi.URLParam(r, "request"))
	if ok {
		a.runs.remove(found)
		if !found.ended() {
			cancelledCount.Add(1)
		}
		found.cancel()
		found.settle()
	}
	return answer.Full(http.StatusNoContent, nil, nil)
}
