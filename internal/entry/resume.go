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
	// resumeTries is how often an entry tries to go on with a cut answer
	// without getting any further. All of them fit into the agent's lease.
	resumeTries = 4
	// resumePause is the longest pause before the first try; it doubles.
	resumePause = 50 * time.Millisecond
	// cancelTimeout bounds the word to an agent that a caller left.
	cancelTimeout = time.Second
)

var (
	errNotResumed = errors.New("the agent no longer has the answer")
	errCrashed    = errors.New("the server crashed with the request on it")
)

// resume asks the agent for the rest of an answer whose connection was cut.
func (e *Entry) resume(ctx context.Context, r *http.Request, c call, server placement.Server, offset int64) (*http.Response, error) {
	for try := range resumeTries {
		// A random pause, so that the answers of one broken connection do
		// not all come back in one burst.
		if err := wait.For(ctx, rand.N(resumePause<<try)); err != nil {
			return nil, err
		}
		response, err := e.askRun(ctx, r, server, http.MethodGet, offset)
		if err != nil {
			continue
		}
		if judge(c, server, response) != outcome.Answered {
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

// askRun calls the agent about a request that it runs.
func (e *Entry) askRun(ctx context.Context, r *http.Request, server placement.Server, method string, offset int64) (*http.Response, error) {
	path := fmt.Sprintf("%s%s?%s=%d", wire.PathRuns, r.Header.Get(wire.HeaderRequestID), wire.QueryOffset, offset)
	url := e.url(server.Announcement, path)
	request, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	telemetry.Inject(ctx, request.Header)
	return e.client.Do(request)
}

// cancelRun tells the agent that nobody waits for a request any more. When the
// word is lost, the agent's lease ends the work.
func (e *Entry) cancelRun(r *http.Request, server placement.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), cancelTimeout)
	go func() {
		defer cancel()
		response, err := e.askRun(ctx, r, server, http.MethodDelete, 0)
		if err == nil {
			_ = response.Body.Close()
		}
	}()
}

// source reads an answer's body, and goes on at the same byte when the connection
// to the agent is cut.
type source struct {
	exchange *exchange
	// begun is the response that the answer began with, current the one whose
	// body is read.
	begun, current *http.Response
	reader         io.Reader
	offset         int64
	// cutAt is the offset of the last cut, barren how many cuts there were at it.
	cutAt  int64
	barren int
}

func (x *exchange) source(response *http.Response) *source {
	return &source{exchange: x, begun: response, current: response, reader: x.watched(response.Body)}
}

func (x *exchange) watched(body io.Reader) io.Reader {
	return x.watchdog.Reader(body, x.entry.options.StallTimeout)
}

// Read implements io.Reader.
func (s *source) Read(buffer []byte) (int, error) {
	n, err := s.reader.Read(buffer)
	s.offset += int64(n)
	if err == nil || err == io.EOF || !s.goOn() {
		return n, err
	}
	return n, nil
}

// trailer is what followed the body, once it was read to its end.
func (s *source) trailer() http.Header { return s.current.Trailer }

// goOn takes the rest from the agent.
func (s *source) goOn() bool {
	x := s.exchange
	if !gated(x.server.Announcement) || errors.Is(context.Cause(x.ctx), relay.ErrStalled) {
		return false
	}
	if s.cutAt != s.offset {
		s.cutAt, s.barren = s.offset, 0
	}
	if s.barren++; s.barren > resumeTries {
		resumeFailedCount.Add(1)
		return false
	}
	x.watchdog.Touch(x.entry.options.StallTimeout)
	next, err := x.entry.resume(x.ctx, x.request, x.call, x.server, s.offset)
	if err != nil {
		x.crashed = errors.Is(err, errCrashed)
		return false
	}
	if !sameKind(s.begun, next) {
		resumeFailedCount.Add(1)
		_ = next.Body.Close()
		return false
	}
	_ = x.body.Close()
	x.body, s.current, s.reader = next.Body, next, x.watched(next.Body)
	return true
}

// sameKind reports whether an answer can be the rest of another. An agent keeps
// the header of a run; another process at its address does not.
func sameKind(begun, rest *http.Response) bool {
	return begun.StatusCode == rest.StatusCode && maps.EqualFunc(lasting(begun.Header), lasting(rest.Header), slices.Equal)
}

// lasting are the headers that do not depend on when and how much of an answer an
// agent gives.
func lasting(header http.Header) http.Header {
	kept := make(http.Header)
	relay.CopyHeader(kept, header)
	kept.Del("Date")
	kept.Del("Content-Length")
	return kept
}
