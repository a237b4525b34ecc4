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
	"github.com/rosemarypass/rosemarypass/internal/interim"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// attempt sends the call to one server. If the outcome is Answered, the caller gets
// the server's answer; with any other outcome nothing has been sent to the caller.
func (e *Entry) attempt(in *inbound, r *http.Request, c call, server placement.Server) attemptResult {
	ctx, span := telemetry.StartClient(r.Context(), telemetry.SpanEntryAttempt)
	span.SetAttributes(telemetry.AttributeServer.String(server.Server))
	x := e.newExchange(in, r.WithContext(ctx), c, server, span)
	in.addCleanup(x.close)
	result := x.roundTrip()
	span.SetAttributes(telemetry.AttributeOutcome.String(result.outcome.String()))
	if result.outcome != outcome.Answered {
		x.close()
	}
	return result
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome outcome.Outcome
	// answer is the answer for the caller if the outcome is Answered.
	answer answer.Answer
	// crashed is true if the server crashed while it ran the request.
	crashed bool
	// declined is true if the server had no free adapter slot.
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
	c.wait.setHeader(request.Header)
	if c.mayDecline() {
		request.Header.Set(wire.HeaderMayDecline, "true")
	}
	telemetry.Inject(ctx, request.Header)
	// HTTP/1.1 responses do not identify their request. On a kept-alive connection
	// a late duplicate would be taken for the response to the next call. Only
	// agents, which are part of this system, are known to answer each call exactly
	// once.
	request.Close = !c.idempotent || !hasAgent(server.Announcement)
	if len(c.body) == 0 {
		// The request is sent with Content-Length: 0, as the caller sent it,
		// because some services refuse an empty body of unknown length. net/http
		// may repeat a request without a body on a kept-alive connection; calls of
		// services therefore use a connection of their own.
		request.Body = http.NoBody
	}
	return e.client.Do(request)
}

// url returns the URL of a path on a server. Agents are peers of this process and
// share its certificates; other servers use plain HTTP.
func (e *Entry) url(server membership.Announcement, path string) string {
	scheme := "http"
	if hasAgent(server) && e.options.SecureAgents {
		scheme = "https"
	}
	return scheme + "://" + server.Address + path
}

// responseOutcome decides whether a response may be relayed to the caller, and
// returns Answered if so. Its status must be final, which net/http does not ensure.
// A successful response of an engine must come from the adapter and version that
// the request asked for.
func responseOutcome(c call, server placement.Server, response *http.Response) outcome.Outcome {
	if !interim.IsFinal(response.StatusCode) {
		return outcome.Unknown
	}
	if !hasAgent(server.Announcement) {
		return outcome.Answered
	}
	reported, err := outcome.Parse(response.Header.Get(outcome.Header))
	if err != nil || reported != outcome.Answered {
		return reported
	}
	succeeded := response.StatusCode < http.StatusBadRequest
	if c.request.Kind == membership.KindEngine && succeeded && response.Header.Get(wire.HeaderServedModel) != c.request.Ref.String() {
		wrongModelCount.Add(1)
		return outcome.Unknown
	}
	return outcome.Answered
}

// verifyModel reports whether an engine without an agent ran the model that the
// request asked for. The check precedes the first byte sent to the caller. Engines
// with an agent are checked by it.
func (e *Entry) verifyModel(c call, server placement.Server, response *http.Response) bool {
	failed := response.StatusCode >= http.StatusBadRequest
	if c.request.Kind != membership.KindEngine || hasAgent(server.Announcement) || failed {
		return true
	}
	ranModel, body, err := relay.PeekModel(response.Body)
	if err != nil || ranModel != c.request.Ref.String() {
		wrongModelCount.Add(1)
		return false
	}
	response.Header.Set(wire.HeaderServedModel, ranModel)
	response.Body = readCloser{body, response.Body}
	return true
}

// readCloser combines a Reader and a Closer of different sources.
type readCloser struct {
	io.Reader
	io.Closer
}
