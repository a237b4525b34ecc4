package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

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
