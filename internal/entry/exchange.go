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

// exchange is one call on its way to a server, and its answer on the way back.
type exchange struct {
	entry *Entry
	visit *visit
	// request is the caller's.
	request  *http.Request
	call     call
	server   placement.Server
	span     trace.Span
	ctx      context.Context
	watchdog *relay.Watchdog
	began    time.Time
	// body is what the server's answer is read from, once there is one.
	body io.ReadCloser
	// settled is true when the server has nothing left to do for the call,
	// declined when it had no adapter slot to give, and answered when its answer
	// was passed on, whole or not.
	settled, declined, answered bool
	// crashed is true when the server crashed with the request on it.
	crashed bool
	closed  bool
}

func (e *Entry) newExchange(v *visit, r *http.Request, c call, server placement.Server, span trace.Span) *exchange {
	ctx, watchdog := relay.Watch(r.Context(), e.options.FirstByteTimeout)
	if gated(server.Announcement) {
		ctx = relay.WithPromptPeer(ctx)
	}
	return &exchange{entry: e, visit: v, request: r, call: c, server: server, span: span, ctx: ctx, watchdog: watchdog, began: time.Now()}
}

// close ends the exchange. The first call counts.
func (x *exchange) close() {
	if x.closed {
		return
	}
	x.closed = true
	if x.body != nil {
		_ = x.body.Close()
	}
	if !x.settled && gated(x.server.Announcement) {
		x.entry.cancelRun(x.request, x.server)
	}
	x.watchdog.Stop()
	x.free()
	x.span.End()
}

// free tells the placer what became of the call.
func (x *exchange) free() {
	if x.declined {
		x.entry.placer.declined(x.server.Server)
		return
	}
	ran := time.Duration(0)
	if x.answered {
		ran = time.Since(x.began)
	}
	x.entry.placer.finished(x.server.Server, x.call.request.Ref, ran)
}

func (x *exchange) offer() attempted {
	response, err := x.entry.forward(x.ctx, x.request, x.call, x.server)
	if err != nil && relay.Sent(err) && gated(x.server.Announcement) {
		response, err = x.entry.resume(x.ctx, x.request, x.call, x.server, 0)
	}
	if err != nil {
		x.settled = !relay.Sent(err)
		return attempted{said: outcome.Decide(outcome.Evidence{Sent: relay.Sent(err)}), crashed: errors.Is(err, errCrashed)}
	}
	x.checkEnd(response)
	x.body = response.Body
	if said := judge(x.call, x.server, response); said != outcome.Answered {
		x.settled = true
		x.call.wait.note(response.Header)
		x.declined = declined(&x.call, said, response)
		return attempted{said: said, crashed: response.Header.Get(wire.HeaderCrashed) != "", declined: x.declined}
	}
	if !x.entry.ranAsAsked(x.call, x.server, response) {
		return attempted{said: outcome.Unknown}
	}
	if x.call.once != nil {
		if err := x.call.once.record(response); err != nil {
			return attempted{said: outcome.Unknown}
		}
	}
	x.body = response.Body
	body := x.pieces(response)
	x.visit.atEnd(body.close)
	if body.first(); body.broken() {
		return attempted{said: outcome.Unknown, crashed: x.crashed}
	}
	x.answered = true
	return attempted{said: outcome.Answered, answer: x.pass(response, body)}
}

// pass is the answer that passes a server's on.
func (x *exchange) pass(response *http.Response, body *pieces) answer.Answer {
	header := x.header(response.Header)
	if bodyless(x.request.Method, response.StatusCode) {
		x.passed()
		return answer.Full(response.StatusCode, header, nil)
	}
	stream := answer.Stream(response.StatusCode, header, func(pass answer.Pass) answer.End { return x.feed(pass, response, body) })
	if response.ContentLength >= 0 {
		return stream.WithLength(response.ContentLength)
	}
	return stream
}

// header is what the caller gets of a server's header.
func (x *exchange) header(from http.Header) http.Header {
	ran := from.Get(wire.HeaderRan)
	from = from.Clone()
	dropInternal(from)
	from.Del(wire.HeaderRequestID)
	header := x.visit.ownHeader()
	relay.CopyHeader(header, from)
	if x.call.request.Kind == membership.KindEngine {
		header.Set(wire.HeaderRan, ran)
	}
	header.Set(outcome.Header, outcome.Answered.String())
	return header
}

// endToEnd is what a caller gets of a server's trailer. Framing has no place
// there, nor has a word in this system's name.
func endToEnd(trailer http.Header) http.Header {
	kept := make(http.Header)
	relay.CopyHeader(kept, trailer)
	dropInternal(kept)
	kept.Del(wire.HeaderRequestID)
	kept.Del("Content-Length")
	return kept
}

// bodyless reports whether an answer ends with its header.
func bodyless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// passed notes that the caller has the whole answer.
func (x *exchange) passed() {
	x.settled, x.visit.whole = true, true
	answeredCount.Add(1)
}

// feed passes an answer's body on as it comes. Once it has begun, a failure can
// only be shown by a cut.
func (x *exchange) feed(pass answer.Pass, response *http.Response, body *pieces) answer.End {
	for {
		piece, err := body.next()
		if len(piece) > 0 && !x.hand(pass, piece) {
			return answer.Cut
		}
		if err == io.EOF {
			x.passed()
			return answer.Complete(endToEnd(body.source.trailer()))
		}
		if err != nil {
			cutCount.Add(1)
			if !body.held.within {
				x.explain(pass, response)
			}
			return answer.Cut
		}
	}
}

// hand passes a piece on and reports whether the caller took it.
func (x *exchange) hand(pass answer.Pass, piece []byte) bool {
	x.visit.meter.add(piece)
	if pass(piece) != nil {
		callerGone.Add(1)
		return false
	}
	return true
}

// explain ends a stream of server-sent events that cannot be completed by an
// event that says so, so that a caller which reads events learns why its
// connection is cut next. Where a length was declared, the event could fill it.
func (x *exchange) explain(pass answer.Pass, response *http.Response) {
	if !eventStream(response.Header) || response.ContentLength >= 0 {
		return
	}
	data, err := json.Marshal(errorBody{Error: errorObject{Message: "the answer could not be completed", Type: errorType(http.StatusBadGateway), Code: codeUnknownOutcome}})
	if err != nil {
		return
	}
	_ = pass([]byte("data: " + string(data) + "\n\n"))
}

// eventStream reports whether an answer consists of server-sent events that can
// be read, and not of an encoding of them.
func eventStream(header http.Header) bool {
	plain := header.Get("Content-Encoding") == ""
	return plain && strings.HasPrefix(strings.ToLower(header.Get("Content-Type")), "text/event-stream")
}
