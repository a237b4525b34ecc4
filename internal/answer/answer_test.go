package answer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/answer"
)

// got is what a caller read from the wire.
type got struct {
	none   bool
	status int
	header http.Header
	body   string
	whole  bool
}

func ask(t *testing.T, proto, method string, h answer.Handler) got {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "%s / HTTP/%s\r\nHost: h\r\n\r\n", method, proto)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return got{none: true}
	}
	body, err := io.ReadAll(response.Body)
	return got{status: response.StatusCode, header: response.Header, body: string(body), whole: err == nil}
}

func stream(pieces int, end answer.End) answer.Answer {
	return answer.Stream(http.StatusOK, http.Header{"Content-Length": {"99"}, "Transfer-Encoding": {"identity"}}, func(pass answer.Pass) answer.End {
		for range pieces {
			_ = pass([]byte("piece "))
		}
		return end
	})
}

// Whatever a handler returns, its caller must be able to tell a whole answer
// from a part by the frame alone, in either version of HTTP.
func TestOnlyACompleteAnswerIsFramedAsWhole(t *testing.T) {
	tests := []struct {
		name   string
		answer answer.Answer
		none   bool
		status int
		body   string
		whole  bool
	}{
		{name: "none", none: true},
		{name: "a whole body", answer: answer.Whole(http.StatusOK, nil, []byte("body")), status: 200, body: "body", whole: true},
		{name: "a whole body under a foreign length", answer: answer.Whole(http.StatusOK, http.Header{"Content-Length": {"2"}}, []byte("body")), status: 200, body: "body", whole: true},
		{name: "a failure", answer: answer.Text(http.StatusBadGateway, nil, "why"), status: 502, body: "why\n", whole: true},
		{name: "no content", answer: answer.Whole(http.StatusNoContent, nil, nil), status: 204, whole: true},
		{name: "a complete stream", answer: stream(2, answer.Complete(nil)), status: 200, body: "piece piece ", whole: true},
		{name: "an empty stream", answer: stream(0, answer.Complete(nil)), status: 200, whole: true},
		{name: "a cut stream", answer: stream(2, answer.Cut), status: 200, body: "piece piece "},
		{name: "a stream cut at its beginning", answer: stream(0, answer.Cut), status: 200},
	}
	for _, proto := range []string{"1.1", "1.0"} {
		for _, test := range tests {
			t.Run(test.name+" "+proto, func(t *testing.T) {
				g := ask(t, proto, http.MethodGet, func(*http.Request) answer.Answer { return test.answer })
				if g.none && !test.whole && test.body == "" {
					// A cut before the first byte of a body may take the header along.
					return
				}
				if g.none != test.none || g.status != test.status || g.body != test.body || g.whole != test.whole {
					t.Errorf("got %+v", g)
				}
			})
		}
	}
}

// A handler that panics in the middle of a stream is cut as well: a caller of
// HTTP/1.0 must not see the orderly end of its connection.
func TestAFeedThatPanicsIsCut(t *testing.T) {
	for _, proto := range []string{"1.1", "1.0"} {
		g := ask(t, proto, http.MethodGet, func(*http.Request) answer.Answer {
			return answer.Stream(http.StatusOK, nil, func(pass answer.Pass) answer.End {
				_ = pass([]byte("piece"))
				panic(http.ErrAbortHandler)
			})
		})
		if g.whole {
			t.Errorf("HTTP/%s: got %+v", proto, g)
		}
	}
}

// The length of an answer to HEAD is that of the body that is not sent.
func TestHeadKeepsTheLength(t *testing.T) {
	g := ask(t, "1.1", http.MethodHead, func(*http.Request) answer.Answer {
		return answer.Whole(http.StatusOK, http.Header{"Content-Length": {"800"}}, nil)
	})
	if g.header.Get("Content-Length") != "800" || g.body != "" || !g.whole {
		t.Errorf("got %+v", g)
	}
}

// After a piece could not be handed over the caller's answer has a hole: the
// feed may think that it is complete, the frame must not say so.
func TestWhatWasNotPassedOnIsMissing(t *testing.T) {
	w := &failing{ResponseRecorder: httptest.NewRecorder()}
	defer func() {
		if recover() != http.ErrAbortHandler {
			t.Error("the answer was not cut")
		}
	}()
	answer.Handler(func(*http.Request) answer.Answer {
		return answer.Stream(http.StatusOK, nil, func(pass answer.Pass) answer.End {
			if pass([]byte("lost")) == nil || pass([]byte("after it")) == nil {
				t.Error("a piece that was lost passed for handed over")
			}
			return answer.Complete(nil)
		})
	}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
}

// failing loses the first piece only.
type failing struct {
	*httptest.ResponseRecorder
	writes int
}

func (f *failing) Write(piece []byte) (int, error) {
	if f.writes++; f.writes == 1 {
		return 0, io.ErrShortWrite
	}
	return f.ResponseRecorder.Write(piece)
}

func TestAClosingAnswerEndsItsConnection(t *testing.T) {
	base := http.Header{"X-Kept": {"yes"}}
	g := ask(t, "1.1", http.MethodGet, func(*http.Request) answer.Answer { return answer.Whole(http.StatusOK, base, nil).Closing() })
	if g.header.Get("X-Kept") != "yes" || base.Get("Connection") != "" || !g.whole {
		t.Errorf("got %+v, the header became %v", g, base)
	}
}

// A backend server gave a status that is no final one, and a handler passed it
// on. The caller must not get the empty success that net/http would send.
func TestAStatusThatIsNotFinalIsNoAnswer(t *testing.T) {
	for _, status := range []int{-1, 99, 100, 101, 103, 150, 1000} {
		for name, a := range map[string]answer.Answer{
			"whole":  answer.Whole(status, nil, []byte("body")),
			"stream": answer.Stream(status, nil, func(answer.Pass) answer.End { return answer.Complete(nil) }),
		} {
			if g := ask(t, "1.1", http.MethodGet, func(*http.Request) answer.Answer { return a }); !g.none {
				t.Errorf("%s, status %d: got %+v", name, status, g)
			}
		}
	}
}

// A stream of a declared length keeps it. What is shorter or longer must be cut
// before a frame of that length is complete around other bytes than meant.
func TestADeclaredLengthIsKeptOrCut(t *testing.T) {
	for length, want := range map[int64]got{
		12: {status: 200, body: "piece piece ", whole: true},
		11: {status: 200, body: "piece "},
		13: {status: 200, body: "piece piece "},
		99: {status: 200, body: "piece piece "},
	} {
		for _, proto := range []string{"1.1", "1.0"} {
			g := ask(t, proto, http.MethodGet, func(*http.Request) answer.Answer { return stream(2, answer.Complete(nil)).Sized(length) })
			if declared := g.header.Get("Content-Length"); declared != fmt.Sprint(length) {
				t.Errorf("HTTP/%s, %d declared: the caller read %q", proto, length, declared)
			}
			if g.header = nil; fmt.Sprint(g) != fmt.Sprint(want) {
				t.Errorf("HTTP/%s, %d declared: got %+v, want %+v", proto, length, g, want)
			}
		}
	}
}

// timed notes what is done to a connection.
type timed struct {
	*httptest.ResponseRecorder
	did string
}

func (w *timed) SetWriteDeadline(time.Time) error {
	w.did += "deadline "
	return nil
}

func (w *timed) Write(piece []byte) (int, error) {
	w.did += "write "
	return w.ResponseRecorder.Write(piece)
}

// A backend server pauses between two words. The time that the caller has to
// accept the first must not be that of the second, nor of the end.
func TestEachPieceAndTheEndHaveATimeOfTheirOwn(t *testing.T) {
	w := &timed{ResponseRecorder: httptest.NewRecorder()}
	answer.Handler(func(*http.Request) answer.Answer {
		return stream(2, answer.Complete(nil)).Accepted(time.Minute)
	}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	if w.did != "deadline deadline write deadline write deadline " {
		t.Errorf("the connection saw %q", w.did)
	}
}

// A whole stream ends in good order for a caller of HTTP/1.0, and whatever closes
// the connection before that resets it.
func TestAnUnframedStreamEndsWellOnlyAtItsEnd(t *testing.T) {
	for _, whole := range []bool{true, false} {
		server := httptest.NewUnstartedServer(nil)
		began, released := make(chan struct{}), make(chan struct{})
		server.Config.ConnContext = answer.ConnContext
		server.Config.Handler = answer.Handler(func(*http.Request) answer.Answer {
			return answer.Stream(http.StatusOK, nil, func(pass answer.Pass) answer.End {
				_ = pass([]byte("piece"))
				close(began)
				<-released
				return answer.Complete(nil)
			})
		})
		server.Start()
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprint(conn, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
		<-began
		if !whole {
			_ = server.Config.Close()
		}
		close(released)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if string(body) != "piece" || (err == nil) != whole {
			t.Errorf("whole %v: got %q, %v", whole, body, err)
		}
		_ = conn.Close()
		server.Close()
	}
}

// A reader that has all of a body but its end comes back for the rest, which is
// empty. The trailer must reach it all the same: what it says of the body is
// lost otherwise, and the answer looks whole.
func TestATrailerStandsBehindAnEmptyRest(t *testing.T) {
	for pieces := range 3 {
		server := httptest.NewServer(answer.Handler(func(*http.Request) answer.Answer {
			return answer.Stream(http.StatusOK, nil, func(pass answer.Pass) answer.End {
				for range pieces {
					_ = pass([]byte("piece "))
				}
				return answer.Complete(http.Header{"Checksum": {"c0ffee"}})
			})
		}))
		response, err := http.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.ReadAll(response.Body)
		if got := response.Trailer.Get("Checksum"); err != nil || got != "c0ffee" {
			t.Errorf("behind %d pieces: trailer %q, %v", pieces, got, err)
		}
		_ = response.Body.Close()
		server.Close()
	}
}
