package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/placement"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// exchange is one call to a server and the server's response.
type exchange struct {
	entry   *Entry
	inbound *inbound
	// request is the caller's request.
	request  *http.Request
	call     call
	server   placement.Server
	span     trace.Span
	ctx      context.Context
	watchdog *relay.Watchdog
	start    time.Time
	// body is the body of the server's current response, or nil before the first.
	body io.ReadCloser
	// settled is true if the server has no work left for the call, declined if it
	// had no free adapter slot, and answered if its answer was relayed, completely
	// or in part.
	settled, declined, answered bool
	// crashed is true if the server crashed while it ran the request.
	crashed bool
	closed  bool
}

func (e *Entry) newExchange(in *inbound, r *http.Request, c call, server placement.Server, span trace.Span) *exchange {
	ctx, watchdog := relay.Watch(r.Context(), e.options.FirstByteTimeout)
	if hasAgent(server.Announcement) {
		ctx = relay.WithPromptPeer(ctx)
	}
	return &exchange{entry: e, inbound: in, request: r, call: c, server: server, span: span, ctx: ctx, watchdog: watchdog, start: time.Now()}
}

// close ends the exchange. Calls after the first have no effect.
func (x *exchange) close() {
	if x.closed {
		return
	}
	x.closed = true
	if x.body != nil {
		_ = x.body.Close()
	}
	if !x.settled && hasAgent(x.server.Announcement) {
		x.entry.cancelRun(x.request, x.server)
	}
	x.watchdog.Stop()
	x.release()
	x.span.End()
}

// release reports the end of the call to the placer.
func (x *exchange) release() {
	if x.declined {
		x.entry.placer.declined(x.server.Server)
		return
	}
	ran := time.Duration(0)
	if x.answered {
		ran = time.Since(x.start)
	}
	x.entry.placer.finished(x.server.Server, x.call.request.Ref, ran)
}

func (x *exchange) roundTrip() attemptResult {
	response, err := x.entry.forward(x.ctx, x.request, x.call, x.server)
	if err != nil && relay.Sent(err) && hasAgent(x.server.Announcement) {
		response, err = x.entry.resume(x.ctx, x.request, x.call, x.server, 0)
	}
	if err != nil {
		x.settled = !relay.Sent(err)
		return attemptResult{outcome: outcome.Decide(outcome.Evidence{Sent: relay.Sent(err)}), crashed: errors.Is(err, errCrashed)}
	}
	x.verifyEnd(response)
	x.body = response.Body
	if reported := responseOutcome(x.call, x.server, response); reported != outcome.Answered {
		x.settled = true
		x.call.wait.recordRefusal(response.Header)
		x.declined = isDecline(&x.call, reported, response)
		return attemptResult{outcome: reported, crashed: response.Header.Get(wire.HeaderCrashed) != "", declined: x.declined}
	}
	if !x.entry.verifyModel(x.call, x.server, response) {
		return attemptResult{outcome: outcome.Unknown}
	}
	if x.call.claim != nil {
		if err := x.call.claim.record(response); err != nil {
			return attemptResult{outcome: outcome.Unknown}
		}
	}
	x.body = response.Body
	body := x.newBodyReader(response)
	x.inbound.addCleanup(body.close)
	if body.peek(); body.broken() {
		return attemptResult{outcome: outcome.Unknown, crashed: x.crashed}
	}
	x.answered = true
	return attemptResult{outcome: outcome.Answered, answer: x.relayAnswer(response, body)}
}

// relayAnswer returns the answer that relays a server's response.
func (x *exchange) relayAnswer(response *http.Response, body *bodyReader) answer.Answer {
	header := x.callerHeader(response.Header)
	if bodyless(x.request.Method, response.StatusCode) {
		x.markComplete()
		return answer.Full(response.StatusCode, header, nil)
	}
	stream := answer.Stream(response.StatusCode, header, func(pass answer.Pass) answer.End { return x.streamBody(pass, response, body) })
	if response.ContentLength >= 0 {
		return stream.WithLength(response.ContentLength)
	}
	return stream
}

// callerHeader returns the header for the caller, derived from the server's header.
func (x *exchange) callerHeader(from http.Header) http.Header {
	ran := from.Get(wire.HeaderServedModel)
	from = from.Clone()
	dropInternal(from)
	from.Del(wire.HeaderRequestID)
	header := x.inbound.newHeader()
	relay.CopyHeader(header, from)
	if x.call.request.Kind == membership.KindEngine {
		header.Set(wire.HeaderServedModel, ran)
	}
	header.Set(outcome.Header, outcome.Answered.String())
	return header
}

// callerTrailer returns the trailer for the caller, derived from the server's
// trailer. Framing headers are not allowed in a trailer, and internal headers of
// this system are dropped.
func callerTrailer(trailer http.Header) http.Header {
	kept := make(http.Header)
	relay.CopyHeader(kept, trailer)
	dropInternal(kept)
	kept.Del(wire.HeaderRequestID)
	kept.Del("Content-Length")
	return kept
}

// bodyless reports whether a response has no body.
func bodyless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// markComplete records that the answer was relayed completely.
func (x *exchange) markComplete() {
	x.settled, x.inbound.complete = true, true
	answeredCount.Add(1)
}

// streamBody relays the body of a response as it arrives. After the first byte, a
// failure can only be signalled by cutting the answer.
func (x *exchange) streamBody(pass answer.Pass, response *http.Response, body *bodyReader) answer.End {
	for {
		piece, err := body.next()
		if len(piece) > 0 && !x.writePiece(pass, piece) {
			return answer.Cut
		}
		if err == io.EOF {
			x.markComplete()
			return answer.Complete(callerTrailer(body.source.trailer()))
		}
		if err != nil {
			cutCount.Add(1)
			if !body.events.partial {
				x.writeErrorEvent(pass, response)
			}
			return answer.Cut
		}
	}
}

// writePiece writes a piece to the caller and reports whether that succeeded.
func (x *exchange) writePiece(pass answer.Pass, piece []byte) bool {
	x.inbound.meter.add(piece)
	if pass(piece) != nil {
		callerGoneCount.Add(1)
		return false
	}
	return true
}

// writeErrorEvent writes a last event with the error to a stream of server-sent
// events that cannot be completed, so that a caller that reads events learns why
// its connection is cut next. Nothing is written if a length was declared, because
// the event could fill it and make the answer look complete.
func (x *exchange) writeErrorEvent(pass answer.Pass, response *http.Response) {
	if !isEventStream(response.Header) || response.ContentLength >= 0 {
		return
	}
	data, err := json.Marshal(errorBody{Error: errorObject{Message: "the answer could not be completed", Type: errorType(http.StatusBadGateway), Code: codeUnknownOutcome}})
	if err != nil {
		return
	}
	_ = pass([]byte("data: " + string(data) + "\n\n"))
}

// isEventStream reports whether a response is a stream of server-sent events
// without a content encoding.
func isEventStream(header http.Header) bool {
	unencoded := header.Get("Content-Encoding") == ""
	return unencoded && strings.HasPrefix(strings.ToLower(header.Get("Content-Type")), "text/event-stream")
}
