package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
)

const partOfPrompt = "aa"

// promptWith returns a request of its own, with a part in its prompt.
func promptWith(number int, path string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader(fmt.Sprint("prompt ", number)))
	r.Header.Set("Id", fmt.Sprint("r", number))
	r.Header.Set("Part", partOfPrompt)
	return r
}

// callWith returns the call of such a request.
func callWith(number int) *Call {
	call := plainEdge{}.Parse(promptWith(number, "/draft/"))
	call.Body = fmt.Append(nil, "prompt ", number)
	return &call
}

// verdictOnPart returns what may be done with another request that holds the part.
func verdictOnPart(g *Gateway) suspicion.Verdict {
	return g.mesh.Decide(callWith(1000).request(), 0).Verdict
}

// Guards against requests of which no two are alike that are sent on by a part of their prompts.
func TestPromptWithCrashingPartIsRefused(t *testing.T) {
	served := 0
	g := newTestGateway(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
		served++
		respond(http.StatusOK, "Signed", "body")(w, r)
	}})
	for i := range 4 {
		strikes := mesh.PartStrikes(callWith(i).request())
		strikes[0].Server = fmt.Sprint("v", i)
		g.mesh.Strike(strikes...)
	}
	recorder := httptest.NewRecorder()
	g.ServeHTTP(recorder, promptWith(4, "/look/"))
	if recorder.Code != http.StatusServiceUnavailable || !strings.Contains(recorder.Body.String(), "part of this prompt") || recorder.Header().Get("Retry-After") == "" || served != 0 {
		t.Errorf("the status is %d %s, header %v, %d requests were served", recorder.Code, recorder.Body, recorder.Header(), served)
	}
	other := promptWith(5, "/look/")
	other.Header.Set("Part", "bb")
	recorder = httptest.NewRecorder()
	if g.ServeHTTP(recorder, other); recorder.Code != http.StatusOK {
		t.Errorf("a prompt without the part gets %d", recorder.Code)
	}
}

// Guards against a part that is blamed for servers that ended long after it had been answered there.
func TestRunBeyondItsBeginProvesPart(t *testing.T) {
	for name, test := range map[string]struct {
		lasts time.Duration
		want  bool
	}{
		"it had just begun":            {suspicion.BeginTime, false},
		"it had given output for long": {suspicion.BeginTime + time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := newHandClock()
			g := newTestGateway(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
				respond(http.StatusOK, "Signed", "id: 1\ndata: word\n\n")(w, r)
				_ = http.NewResponseController(w).Flush()
				clock.advance(2, test.lasts)
				_, _ = io.WriteString(w, "id: 2\ndata: word\n\n")
				_ = http.NewResponseController(w).Flush()
				clock.advance(1, 0)
				panic(http.ErrAbortHandler)
			}, respond(http.StatusNotFound, "Signed", "")})
			g.now = clock.Now
			part := mesh.PartStrikes(callWith(0).request())
			for i := range 4 {
				part[0].Server = fmt.Sprint("v", i)
				g.mesh.Strike(part...)
			}
			g.mesh.Proved(callWith(0).request())
			part[0].Server = "later"
			g.mesh.Strike(part...)
			serveCut(g, promptWith(1, "/draft/"))
			if proved := !g.mesh.Suspected(part[0].Fingerprint); proved != test.want {
				t.Errorf("proved: %v, want %v", proved, test.want)
			}
		})
	}
}

// unframed answers with a body that ends with its connection.
func unframed(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\n%s", r.Header.Get("Id"), body)
		_ = conn.Close()
	}
}

// Guards against the end of a server that is taken for the end of its answer, and clears what ended it.
func TestAnswerThatEndsWithItsConnectionProvesNothing(t *testing.T) {
	for path, body := range map[string]string{"/look/": "body", "/draft/": "id: 1\ndata: word\n\n"} {
		t.Run(path, func(t *testing.T) {
			g := newTestGateway(t, []http.HandlerFunc{unframed(body)})
			call := callWith(0)
			call.URI, call.Host = path, "h"
			known := plainEdge{}.Parse(promptWith(0, path))
			known.Body = call.Body
			strikes := append(mesh.PartStrikes(known.request()), suspicion.Strike{Fingerprint: known.fingerprint()})
			for i := range strikes {
				strikes[i].Server = "v"
			}
			g.mesh.Strike(strikes...)
			serveCut(g, promptWith(0, path))
			for _, strike := range strikes {
				if !g.mesh.Suspected(strike.Fingerprint) {
					t.Errorf("part %q is cleared", strike.Part)
				}
			}
			if len(g.strikes.pending) != 1 {
				t.Errorf("%d servers are followed up, want 1", len(g.strikes.pending))
			}
		})
	}
}

// Guards against sound parts that stay suspected, and ended servers that count against nobody, where answers end with their connections.
func TestServerBehindUnframedAnswerIsFollowedUp(t *testing.T) {
	const heartbeat = time.Second
	for name, listening := range map[string]bool{"it has ended": false, "it lives on": true} {
		t.Run(name, func(t *testing.T) {
			g := newIdleGateway(heartbeat)
			proof := mesh.PartStrikes(callWith(0).request())
			now := time.Now()
			for i := range 2 {
				servers, _ := breakAtListeners(t, g, callWith(i), listening)
				g.strikes.pending = nil
				for n, s := range servers {
					g.strikes.connBroken(brokenCall{call: callWith(10*i + n), server: newServer(roster.Entry{Server: s}, nil), proof: proof})
				}
				g.strikes.settle(now)
			}
			want := suspicion.Refuse
			if listening {
				want = suspicion.Run
				earlier, later := proof[0], proof[0]
				earlier.Server, earlier.AgeMillis = "earlier", (10 * heartbeat).Milliseconds()
				g.mesh.Strike(earlier)
				g.strikes.settle(now.Add(heartbeat / 2))
				if !g.mesh.Suspected(earlier.Fingerprint) {
					t.Error("the answer counts before its server has shown that it lives on")
				}
				g.strikes.settle(now.Add(4 * heartbeat))
				if g.mesh.Suspected(earlier.Fingerprint) {
					t.Error("the answer does not clear an earlier end")
				}
				later.Server = "later"
				if g.mesh.Strike(later); !g.mesh.Suspected(later.Fingerprint) {
					t.Error("the answer clears a later end")
				}
			}
			if got := verdictOnPart(g); got != want {
				t.Errorf("a request with the part is to %s, want %s", got, want)
			}
		})
	}
}
