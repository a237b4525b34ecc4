package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/placement"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// attempt offers the call to one server. Answered means that the caller gets
// its answer; after any other outcome the caller has nothing.
func (e *Entry) attempt(v *visit, r *http.Request, c call, server placement.Server) attempted {
	ctx, span := telemetry.StartClient(r.Context(), telemetry.SpanEntryAttempt)
	span.SetAttributes(telemetry.AttributeServer.String(server.Server))
	x := e.newExchange(v, r.WithContext(ctx), c, server, span)
	v.atEnd(x.close)
	got := x.offer()
	span.SetAttributes(telemetry.AttributeOutcome.String(got.said.String()))
	if got.said != outcome.Answered {
		x.close()
	}
	return got
}

// attempted is how one attempt ended.
type attempted struct {
	said outcome.Outcome
	// answer is the caller's, when the call was answered.
	answer answer.Answer
	// crashed is true when the server crashed with the request on it.
	crashed bool
	// declined is true when the server had no adapter slot to give.
	declined bool
}

func (e *Entry) forward(ctx context.Context, r *http.Request, c call, server placement.Server) (*http.Response, error) {
	url := e.url(server.Announcement, c.path)
	if r.URL.RawQuery != "" {
		url += "?" + r.URL.RawQuery
	}
	request, err := relay.NewRequest(ctx, r.Method, url, bytes.NewReader(c.body), int64(len(c.body)))
	if err != nil {
		return nil, err
	}
	relay.CopyHeader(request.Header, r.Header)
	c.wait.describe(request.Header)
	if c.mayDecline() {
		request.Header.Set(wire.HeaderMayDecline, "true")
	}
	telemetry.Inject(ctx, request.Header)
	// Answers do not name the call that they are for. On a kept connection one
	// that comes late would pass for that of the next call; only agents, which
	// are of this system, answer each call once.
	request.Close = !c.idempotent || !gated(server.Announcement)
	if len(c.body) == 0 {
		// Sent as Content-Length: 0, as the caller did; some services refuse
		// an empty body of unknown length. net/http may repeat such a request
		// on a kept-alive connection; calls of services have one of their own.
		request.Body = http.NoBody
	}
	return e.client.Do(request)
}

// url is where a path of a server is reached. Agents are peers of this process
// and share its certificates; other servers speak plain HTTP.
func (e *Entry) url(server membership.Announcement, path string) string {
	scheme := "http"
	if gated(server) && e.options.SecureAgents {
		scheme = "https"
	}
	return scheme + "://" + server.Address + path
}

// judge says whether an answer may go to the caller. Its status must be a final
// one, as net/http does not see to. An answer of an engine must come from the
// adapter and version that the request asked for.
func judge(c call, server placement.Server, response *http.Response) outcome.Outcome {
	if response.StatusCode < http.StatusOK {
		return outcome.Unknown
	}
	if !gated(server.Announcement) {
		return outcome.Answered
	}
	said, err := outcome.Parse(response.Header.Get(outcome.Header))
	if err != nil || said != outcome.Answered {
		return said
	}
	succeeded := response.StatusCode < http.StatusBadRequest
	if c.request.Kind == membership.KindEngine && succeeded && response.Header.Get(wire.HeaderRan) != c.request.Ref.String() {
		wrongModelCount.Add(1)
		return outcome.Unknown
	}
	return outcome.Answered
}

// ranAsAsked checks the word of an engine without an agent about what ran,
// before a byte of its answer goes out. An agent has checked its engine's.
func (e *Entry) ranAsAsked(c call, server placement.Server, response *http.Response) bool {
	failed := response.StatusCode >= http.StatusBadRequest
	if c.request.Kind != membership.KindEngine || gated(server.Announcement) || failed {
		return true
	}
	ran, whole, err := relay.PeekModel(response.Body)
	if err != nil || ran != c.request.Ref.String() {
		wrongModelCount.Add(1)
		return false
	}
	response.Header.Set(wire.HeaderRan, ran)
	response.Body = readCloser{whole, response.Body}
	return true
}

// readCloser reads from one place and closes another.
type readCloser struct {
	io.Reader
	io.Closer
}
