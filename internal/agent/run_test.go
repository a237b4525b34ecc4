package agent

import (
	"context"
	"net/http"
	"runtime"
	"testing"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Guards against an entry that asks for the rest of an answer as soon as its run can be found, and finds a run that is not complete.
func TestRunCanBeReadAsSoonAsItIsFound(t *testing.T) {
	engine := roundTripper(func(r *http.Request) (*http.Response, error) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	})
	a := New(Options{Server: "s", Slots: 1, Queue: 1}, &http.Client{Transport: engine}, zap.NewNop())
	ref, err := catalogue.ParseRef("m@1")
	if err != nil {
		t.Fatal(err)
	}
	left, leave := context.WithCancel(t.Context())
	leave()
	for range 500 {
		r := engineRequest(t.Context(), "m@1")
		r.Header.Set(wire.HeaderRequestID, "again")
		running, read := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(read)
			close(running)
			for {
				if found, ok := a.runs.get("again"); ok {
					found.answerFrom(left, 0)
					return
				}
				runtime.Gosched()
			}
		}()
		<-running
		started := a.start(r, ref, nil, func() {})
		<-read
		a.runs.remove(started)
		started.cancel()
		started.settle()
	}
}
