package fleet

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/drain"
	"github.com/rosemarypass/rosemarypass/internal/loopback"
	"github.com/rosemarypass/rosemarypass/internal/settings"
)

// Guards against callers that a process serves after it was told to stop, and that the stop does not wait for.
func TestNoCallersAreServedBehindTheBeginOfAStop(t *testing.T) {
	p := &process{log: zap.NewNop(), settings: settings.Fleet{CallerListen: "127.0.0.1:0"}}
	if callers := p.beginStop(); callers != nil {
		t.Fatal("callers are served before the start")
	}
	if err := p.serveCallers(); err != nil || p.callers != nil {
		t.Errorf("callers are served behind the begin of a stop, %v", err)
	}
}

// Guards against a change of an operator that is made and whose answer the stop of the entry cuts off.
func TestStopAnswersOperatorsWhoseRequestsWereRead(t *testing.T) {
	addresses, err := loopback.Addresses(1)
	if err != nil {
		t.Fatal(err)
	}
	address := addresses[0]
	p := &process{log: zap.NewNop(), platform: Platform{Edge: idEdge{}}}
	read, answer := make(chan struct{}), make(chan struct{})
	p.control, err = p.serve(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(read)
		<-answer
		_, _ = io.WriteString(w, "accepted")
	}), time.Minute, drain.Limit{})
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan string, 1)
	go func() {
		response, err := http.Post("http://"+address+"/", "", nil)
		if err != nil {
			got <- err.Error()
			return
		}
		defer response.Body.Close()
		content, _ := io.ReadAll(response.Body)
		got <- string(content)
	}()
	<-read
	stopped := make(chan drain.Tally, 1)
	go func() {
		p.stopControl(context.Background())
		stopped <- p.control.Tally()
	}()
	close(answer)
	if tally := <-stopped; tally.Open != 0 {
		t.Errorf("the stop left %+v", tally)
	}
	if answered := <-got; answered != "accepted" {
		t.Errorf("the operator got %q", answered)
	}
}
