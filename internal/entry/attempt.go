package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/placement"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// attempt offers the call to one server. Answered means that the caller has
// its answer; after any other outcome nothing was written to the caller.
func (e *Entry) attempt(w http.ResponseWriter, r *http.Request, c call, server placement.Server) attempted {
	ctx, span := telemetry.StartClient(r.Context(), telemetry.SpanEntryAttempt)
	defer span.End()
	span.SetAttributes(telemetry.AttributeServer.String(server.Server))
	got := e.offer(w, r.WithContext(ctx), c, server)
	span.SetAttributes(telemetry.AttributeOutcome.String(got.said.String()))
	return got
}

// attempted is how one attempt ended.
type attempted struct {
	said outcome.Outcome
	// crashed is true when the server crashed with the request on it.
	crashed bool
	// declined is true when the server had no adapter slot to give.
	declined bool
}

func (e *Entry) offer(w http.ResponseWriter, r *http.Request, c call, server placement.Server) (got attempted) {
	began, ran := time.Now(), time.Duration(0)
	defer func() {
		if got.declined {
			e.placer.declined(server.Server)
			return
		}
		e.placer.finished(server.Server, c.request.Ref, ran)
	}()
	ctx, watchdog := relay.Watch(r.Context(), e.options.FirstByteTimeout)
	if gated(server.Announcement) {
		ctx = relay.WithPromptPeer(ctx)
	}
	defer watchdog.Stop()
	settled := false
	defer func() {
		if !settled && gated(server.Announcement) {
			e.cancelRun(r, server)
		}
	}()
	response, err := e.forward(ctx, r, c, server)
	if err != nil && relay.Sent(err) && gated(server.Announcement) {
		response, err = e.resume(ctx, r, c, server, 0)
	}
	if err != nil {
		settled = !relay.Sent(err)
		return attempted{said: outcome.Decide(outcome.Evidence{Sent: relay.Sent(err)}), crashed: errors.Is(err, errCrashed)}
	}
	defer response.Body.Close()
	if said := judge(c, server, response); said != outcome.Answered {
		settled = true
		c.wait.note(response.Header)
		return attempted{said: said, crashed: response.Header.Get(wire.HeaderCrashed) != "", declined: declined(&c, said, response)}
	}
	if !e.ranAsAsked(c, server, response) {
		return attempted{said: outcome.Unknown}
	}
	if c.once != nil {
		if err := c.once.record(response); err != nil {
			return attempted{said: outcome.Unknown}
		}
	}
	defer func() { ran = time.Since(began) }()
	e.relayAnswer(w, r, c, server, response, watchdog)
	settled = true
	return attempted{said: outcome.Answered}
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
	request.Close = !c.idempotent
	if len(c.body) == 0 {
		// Sent as Content-Length: 0, as the caller did; some services refuse
		// an empty body of unknown length. net/http may repeat such a request
		// on a kept-alive connection, which only idempotent calls use.
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

// judge says whether an answer may go to the caller. An answer of an engine
// must come from the adapter and version that the request asked for.
func judge(c call, server placement.Server, response *http.Response) outcome.Outcome {
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

// relayAnswer passes an answer on. Once its first byte is out, a failure can
// only be shown by cutting the caller's connection: a clean end would make a
// part look like the whole.
func (e *Entry) relayAnswer(w http.ResponseWriter, r *http.Request, c call, server placement.Server, response *http.Response, watchdog *relay.Watchdog) {
	ran := response.Header.Get(wire.HeaderRan)
	dropInternal(response.Header)
	response.Header.Del(wire.HeaderRequestID)
	relay.CopyHeader(w.Header(), response.Header)
	if c.request.Kind == membership.KindEngine {
		w.Header().Set(wire.HeaderRan, ran)
	}
	w.Header().Set(outcome.Header, outcome.Answered.String())
	w.WriteHeader(response.StatusCode)
	if err := e.stream(w, r, c, server, response, watchdog); err != nil {
		countCut(err)
		errorEvent(w)
		panic(http.ErrAbortHandler)
	}
	relay.CopyTrailer(w, response.Trailer)
	answeredCount.Add(1)
}
