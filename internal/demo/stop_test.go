package demo_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/demo"
	"github.com/rosemarypass/rosemarypass/internal/standin/engine"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// streamCompletion requests a streamed completion of the given length and returns
// the request ID and the part of the body that arrived.
func streamCompletion(d *demo.Demo, tokens int) (id, body string, err error) {
	payload := fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":%d,"stream":true}`, demo.Adapters[0], tokens)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+d.Entry+"/v1/completions", strings.NewReader(payload))
	if err != nil {
		return "", "", err
	}
	request.Header.Set("Authorization", "Bearer "+demo.CallerKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.Header.Get(wire.HeaderRequestID), string(data), err
}

func awaitRunning(t *testing.T, d *demo.Demo, n int) {
	t.Helper()
	for range 1000 {
		if len(d.Engine.Started()) >= n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the streams did not start")
}

func ready(d *demo.Demo) bool {
	response, err := http.Get("http://" + d.Entry + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Guards against a planned stop that aborts streams, which costs the callers the
// whole response, or that refuses requests too early: the load balancer sends
// requests until it has seen that the entry is not ready.
func TestPlannedStop(t *testing.T) {
	d, err := demo.StartWith(demo.Options{Listen: "127.0.0.1:0", TokenTime: 5 * time.Millisecond}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	const streams, tokens = 6, 300
	var callers sync.WaitGroup
	for i := range streams {
		callers.Go(func() {
			id, body, err := streamCompletion(d, tokens)
			complete := strings.HasSuffix(body, "data: [DONE]\n\n") && strings.Contains(body, engine.TokenText(demo.Adapters[0], id, tokens-1))
			if err != nil || !complete {
				t.Errorf("stream %d: got complete = %v, %v, want a complete stream", i, complete, err)
			}
		})
	}
	awaitRunning(t, d, streams)
	stopped := make(chan int, 1)
	go func() { stopped <- d.Stop(context.Background()) }()
	for ready(d) {
		time.Sleep(time.Millisecond)
	}
	response, body := post(t, d, "/v1/completions", demo.CallerKey, `{"model":"`+demo.Adapters[0]+`","prompt":"x","max_tokens":1}`)
	if response.StatusCode != http.StatusOK || response.Header.Get(outcome.Header) != outcome.Answered.String() {
		t.Errorf("request sent right after the entry became unready: got %s %s, want 200", response.Status, body)
	}
	callers.Wait()
	if aborted := <-stopped; aborted != 0 {
		t.Errorf("the stop aborted %d requests, want 0", aborted)
	}
}

// Guards against a stop that does not end when its context is cancelled, as it is
// after a second signal. It must abort the remaining requests and return their
// number, and their callers must see an error.
func TestCancelledStopReturnsAbortedRequests(t *testing.T) {
	d, err := demo.StartWith(demo.Options{Listen: "127.0.0.1:0", TokenTime: 10 * time.Millisecond}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, _, err := streamCompletion(d, 3000)
		ended <- err
	}()
	awaitRunning(t, d, 1)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan int, 1)
	go func() { stopped <- d.Stop(ctx) }()
	for ready(d) {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if aborted := <-stopped; aborted == 0 {
		t.Error("the stop reported 0 aborted requests, want at least 1")
	}
	if err := <-ended; err == nil {
		t.Error("the aborted stream ended without an error")
	}
}
