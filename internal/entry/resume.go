package entry

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/placement"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	resumedCount      = telemetry.Counter("entry_answers_resumed")
	resumeFailedCount = telemetry.Counter("entry_answers_not_resumed")
)

const (
	// maxResumeAttempts is the maximum number of attempts to resume a cut answer
	// without progress. All of them fit into the agent's lease.
	maxResumeAttempts = 4
	// resumeBackoff is the maximum backoff before the first attempt; it doubles with
	// each further attempt.
	resumeBackoff = 50 * time.Millisecond
	// cancelTimeout bounds the request to an agent that cancels a run.
	cancelTimeout = time.Second
)

var (
	errNotResumed = errors.New("the agent no longer has the answer")
	errCrashed    = errors.New("the server crashed with the request on it")
)

// resume requests the rest of an answer from the agent after its connection was
// cut.
func (e *Entry) resume(ctx context.Context, r *http.Request, c call, server placement.Server, offset int64) (*http.Response, error) {
	for attempt := range maxResumeAttempts {
		// The backoff is random so that the answers cut by one broken connection are
		// not all resumed in one burst.
		if err := wait.For(ctx, rand.N(resumeBackoff<<attempt)); err != nil {
			return nil, err
		}
		response, err := e.callRun(ctx, r, server, http.MethodGet, offset)
		if err != nil {
			continue
		}
		if responseOutcome(c, server, response) != outcome.Answered {
			_ = response.Body.Close()
			if response.Header.Get(wire.HeaderCrashed) != "" {
				return nil, errCrashed
			}
			return nil, errNotResumed
		}
		resumedCount.Add(1)
		return response, nil
	}
	resumeFailedCount.Add(1)
	return nil, errNotResumed
}

// callRun sends a request to the agent about one of its runs.
func (e *Entry) callRun(ctx context.Context, r *http.Request, server placement.Server, method string, offset int64) (*http.Response, error) {
	path := fmt.Sprintf("%s%s?%s=%d", wire.PathRuns, r.Header.Get(wire.HeaderRequestID), wire.QueryOffset, offset)
	url := e.url(server.Announcement, path)
	request, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	telemetry.Inject(ctx, request.Header)
	return e.client.Do(request)
}

// cancelRun tells the agent that no caller waits for the run any more. If the
// request is lost, the run ends when its lease at the agent expires. A stop of the
// entry waits for it; the request that calls it must be in flight itself.
func (e *Entry) cancelRun(r *http.Request, server placement.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), cancelTimeout)
	e.gate.Join()
	go func() {
		defer e.gate.Leave()
		defer cancel()
		response, err := e.callRun(ctx, r, server, http.MethodDelete, 0)
		if err == nil {
			_ = response.Body.Close()
		}
	}()
}

// resumableBody reads the body of an answer. If the connection to the agent is cut,
// it resumes at the same byte.
type resumableBody struct {
	exchange *exchange
	// first is the response that started the answer, current the one whose body is
	// read.
	first, current *http.Response
	reader         io.Reader
	offset         int64
	// cutOffset is the offset of the last cut, cutsAtOffset the number of cuts at
	// that offset.
	cutOffset    int64
	cutsAtOffset int
}

func (x *exchange) newResumableBody(response *http.Response) *resumableBody {
	return &resumableBody{exchange: x, first: response, current: response, reader: x.withStallTimeout(response.Body)}
}

func (x *exchange) withStallTimeout(body io.Reader) io.Reader {
	return x.watchdog.Reader(body, x.entry.options.StallTimeout)
}

// Read implements io.Reader.
func (b *resumableBody) Read(buffer []byte) (int, error) {
	n, err := b.reader.Read(buffer)
	b.offset += int64(n)
	if err == nil || err == io.EOF || !b.resume() {
		return n, err
	}
	return n, nil
}

// trailer returns the trailer of the response, which is complete once the body has
// been read to its end.
func (b *resumableBody) trailer() http.Header { return b.current.Trailer }

// resume continues with the rest of the answer from the agent and reports whether
// that succeeded.
func (b *resumableBody) resume() bool {
	x := b.exchange
	if !hasAgent(x.server.Announcement) || errors.Is(context.Cause(x.ctx), relay.ErrStalled) {
		return false
	}
	if b.cutOffset != b.offset {
		b.cutOffset, b.cutsAtOffset = b.offset, 0
	}
	if b.cutsAtOffset++; b.cutsAtOffset > maxResumeAttempts {
		resumeFailedCount.Add(1)
		return false
	}
	x.watchdog.Touch(x.entry.options.StallTimeout)
	next, err := x.entry.resume(x.ctx, x.request, x.call, x.server, b.offset)
	if err != nil {
		x.crashed = errors.Is(err, errCrashed)
		return false
	}
	if !isContinuation(b.first, next) {
		resumeFailedCount.Add(1)
		_ = next.Body.Close()
		return false
	}
	_ = x.body.Close()
	x.body, b.current, b.reader = next.Body, next, x.withStallTimeout(next.Body)
	return true
}

// isContinuation reports whether rest can be the rest of the answer that first
// started. An agent keeps the header of a run; another process at its address does
// not have the same one.
func isContinuation(first, rest *http.Response) bool {
	return first.StatusCode == rest.StatusCode && maps.EqualFunc(stableHeaders(first.Header), stableHeaders(rest.Header), slices.Equal)
}

// stableHeaders returns the headers that do not depend on when and from which
// offset an agent sends an answer.
func stableHeaders(header http.Header) http.Header {
	kept := make(http.Header)
	relay.CopyHeader(kept, header)
	kept.Del("Date")
	kept.Del("Content-Length")
	return kept
}
