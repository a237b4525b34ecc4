package fleet

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/rosemarypass/rosemarypass/internal/gateway"
)

type idEdge struct{ gateway.Edge }

func (idEdge) IDHeader() string { return "Id" }

// Guards against an answer that ends in a panic of its handler, of which nothing is written.
func TestPanicOfAHandlerIsLogged(t *testing.T) {
	core, seen := observer.New(zap.InfoLevel)
	p := &process{platform: Platform{Edge: idEdge{}}, log: zap.New(core)}
	for _, reason := range []any{"broken", http.ErrAbortHandler} {
		handler := p.reportPanics(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(reason) }))
		r := httptest.NewRequest(http.MethodPost, "/plan", nil)
		r.Header.Set("Id", "r1")
		func() {
			defer func() {
				if got := recover(); got != http.ErrAbortHandler {
					t.Errorf("the handler ended with %v, want the end of its connection", got)
				}
			}()
			handler.ServeHTTP(httptest.NewRecorder(), r)
		}()
	}
	lines := seen.FilterMessage("handler panicked").All()
	if len(lines) != 1 || lines[0].ContextMap()["request"] != "r1" || lines[0].ContextMap()["panic"] != "broken" {
		t.Errorf("got lines %v, want one, of the panic that is no end on purpose", lines)
	}
}
