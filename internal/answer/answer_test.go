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

// received is the response that a caller read from the connection.
type received struct {
	noResponse bool
	status     int
	header     http.Header
	body       string
	complete   bool
}

func request(t *testing.T, proto, method string, h answer.Handler) received {
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
		return received{noResponse: true}
	}
	body, err := io.ReadAll(response.Body)
	return received{status: response.StatusCode, header: response.Header, body: string(body), complete: err == nil}
}

func stream(pieces int, end answer.End) answer.Answer {
	return answer.Stream(http.StatusOK, http.Header{"Content-Length": {"99"}, "Transfer-Encoding": {"identity"}}, func(pass answer.Pass) answer.End {
		for range pieces {
			_ = pass([]byte("piece "))
		}
		return end
	})
}

// Whatever a handler returns, the caller must be able to distinguish a complete
// response from a truncated one by the framing alone, in HTTP/1.0 and HTTP/1.1.
func TestOnlyCompleteAnswersAreFramedAsComplete(t *testing.T) {
	tests := []struct {
		name       string
		answer     answer.Answer
		noResponse bool
		status     int
		body       string
		complete   bool
	}{
		{name: "none", noResponse: true},
		{name: "complete body", answer: answer.Full(http.StatusOK, nil, []byte("body")), status: 200, body: "body", complete: true},
		{name: "complete body with a wrong length header", answer: answer.Full(http.StatusOK, http.Header{"Content-Length": {"2"}}, []byte("body")), status: 200, body: "body", complete: true},
		{name: "error text", answer: answer.Text(http.StatusBadGateway, nil, "why"), status: 502, body: "why\n", complete: true},
		{name: "no content", answer: answer.Full(http.StatusNoContent, nil, nil), status: 204, complete: true},
		{name: "complete stream", answer: stream(2, answer.Complete(nil)), status: 200, body: "piece piece ", complete: true},
		{name: "empty stream", answer: stream(0, answer.Complete(nil)), status: 200, complete: true},
		{name: "cut stream", answer: stream(2, answer.Cut), status: 200, body: "piece piece "},
		{name: "stream cut before its first byte", answer: stream(0, answer.Cut), status: 200},
	}
	for _, proto := range []string{"1.1", "1.0"} {
		for _, test := range tests {
			t.Run(test.name+" "+proto, func(t *testing.T) {
				g := request(t, proto, http.MethodGet, func(*http.Request) answer.Answer { return test.answer })
				if g.noResponse && !test.complete && test.body == "" {
					// If the answer is cut before the first body byte, the header may be lost too.
					return
				}
				if g.noResponse != test.noResponse || g.status != test.status || g.body != test.body || g.complete != test.complete {
					t.Errorf("got %+v", g)
				}
			})
		}
	}
}

// An answer whose feed panics in the middle of a stream is cut as well: an
// HTTP/1.0 caller must not see an orderly close of its connection.
func TestPanickingFeedIsCut(t *testing.T) {
	for _, proto := range []string{"1.1", "1.0"} {
		g := request(t, proto, http.MethodGet, func(*http.Request) answer.Answer {
			return answer.Stream(http.StatusOK, nil, func(pass answer.Pass) answer.End {
				_ = pass([]byte("piece"))
				panic(http.ErrAbortHandler)
			})
		})
		if g.complete {
			t.Errorf("HTTP/%s: got %+v, want a truncated answer", proto, g)
		}
	}
}

// The Content-Length of a response to HEAD is that of the body that is not sent.
func TestHeadKeepsContentLength(t *testing.T) {
	g := request(t, "1.1", http.MethodHead, func(*http.Request) answer.Answer {
		return answer.Full(http.StatusOK, http.Header{"Content-Length": {"800"}}, nil)
	})
	if g.header.Get("Content-Length") != "800" || g.body != "" || !g.complete {
		t.Errorf("got %+v", g)
	}
}

// After a failed write the response has a gap. Even if the feed returns Complete,
// the framing must not show a complete response.
func TestFailedWriteCutsAnswer(t *testing.T) {
	w := &failingWriter{ResponseRecorder: httptest.NewRecorder()}
	defer func() {
		if recover() != http.ErrAbortHandler {
			t.Error("the answer was not cut")
		}
	}()
	answer.Handler(func(*http.Request) answer.Answer {
		return answer.Stream(http.StatusOK, nil, func(pass answer.Pass) answer.End {
			if pass([]byte("lost")) == nil || pass([]byte("after it")) == nil {
				t.Error("Pass returned no error for a lost piece")
			}
			return answer.Complete(nil)
		})
	}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
}

// failingWriter fails the first write only.
type failingWriter struct {
	*httptest.ResponseRecorder
	writes int
}

func (f *failingWriter) Write(piece []byte) (int, error) {
	if f.writes++; f.writes == 1 {
		return 0, io.ErrShortWrite
	}
	return f.ResponseRecorder.Write(piece)
}

func TestClosingSetsConnectionClose(t *testing.T) {
	base := http.Header{"X-Kept": {"yes"}}
	g := request(t, "1.1", http.MethodGet, func(*http.Request) answer.Answer { return answer.Full(http.StatusOK, base, nil).WithConnectionClose() })
	if g.header.Get("X-Kept") != "yes" || base.Get("Connection") != "" || !g.complete {
		t.Errorf("got %+v, original header changed to %v", g, base)
	}
}

// A backend server returns a status that is not final, and a handler passes it
// on. The caller must not get the empty successful response that net/http would
// send.
func TestNonFinalStatusSendsNoResponse(t *testing.T) {
	for _, status := range []int{-1, 99, 100, 101, 103, 150, 1000} {
		for name, a := range map[string]answer.Answer{
			"complete": answer.Full(status, nil, []byte("body")),
			"stream":   answer.Stream(status, nil, func(answer.Pass) answer.End { return answer.Complete(nil) }),
		} {
			if g := request(t, "1.1", http.MethodGet, func(*http.Request) answer.Answer { return a }); !g.noResponse {
				t.Errorf("%s, status %d: got %+v, want no response", name, status, g)
			}
		}
	}
}

// A stream with a declared length must have that length. A shorter or longer body
// must be cut before the caller has received as many bytes as declared, or it
// would take a wrong body for complete.
func TestDeclaredLengthIsKeptOrCut(t *testing.T) {
	for length, want := range map[int64]received{
		12: {status: 200, body: "piece piece ", complete: true},
		11: {status: 200, body: "piece "},
		13: {status: 200, body: "piece piece "},
		99: {status: 200, body: "piece piece "},
	} {
		for _, proto := range []string{"1.1", "1.0"} {
			g := request(t, proto, http.MethodGet, func(*http.Request) answer.Answer { return stream(2, answer.Complete(nil)).WithLength(length) })
			if declared := g.header.Get("Content-Length"); declared != fmt.Sprint(length) {
				t.Errorf("HTTP/%s, %d declared: Content-Length is %q", proto, length, declared)
			}
			if g.header = nil; fmt.Sprint(g) != fmt.Sprint(want) {
				t.Errorf("HTTP/%s, %d declared: got %+v, want %+v", proto, length, g, want)
			}
		}
	}
}

// callRecorder records the calls that set a write deadline or write.
type callRecorder struct {
	*httptest.ResponseRecorder
	calls string
}

func (w *callRecorder) SetWriteDeadline(time.Time) error {
	w.calls += "deadline "
	return nil
}

func (w *callRecorder) Write(piece []byte) (int, error) {
	w.calls += "write "
	return w.ResponseRecorder.Write(piece)
}

// A backend server pauses between two pieces. The write deadline of the first
// piece must not apply to the second, nor to the end of the body.
func TestEachWriteHasItsOwnDeadline(t *testing.T) {
	w := &callRecorder{ResponseRecorder: httptest.NewRecorder()}
	answer.Handler(func(*http.Request) answer.Answer {
		return stream(2, answer.Complete(nil)).WithWriteTimeout(time.Minute)
	}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	if w.calls != "deadline deadline write deadline write deadline " {
		t.Errorf("calls on the connection: %q", w.calls)
	}
}

// For an HTTP/1.0 caller, a complete stream ends with an orderly close, and any
// close of the connection before that resets it.
func TestUnframedStreamIsResetUnlessComplete(t *testing.T) {
	for _, complete := range []bool{true, false} {
		server := httptest.NewUnstartedServer(nil)
		started, released := make(chan struct{}), make(chan struct{})
		server.Config.ConnContext = answer.ConnContext
		server.Config.Handler = answer.Handler(func(*http.Request) answer.Answer {
			return answer.Stream(http.StatusOK, nil, func(pass answer.Pass) answer.End {
				_ = pass([]byte("piece"))
				close(started)
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
		<-started
		if !complete {
			_ = server.Config.Close()
		}
		close(released)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if string(body) != "piece" || (err == nil) != complete {
			t.Errorf("complete %v: got %q, %v", complete, body, err)
		}
		_ = conn.Close()
		server.Close()
	}
}

// A reader that has the complete body but not its end requests the rest, which is
// empty. It must still receive the trailer: otherwise the trailer's information
// about the body is lost although the response looks complete.
func TestTrailerFollowsEmptyBody(t *testing.T) {
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
			t.Errorf("after %d pieces: trailer %q, %v", pieces, got, err)
		}
		_ = response.Body.Close()
		server.Close()
	}
}
