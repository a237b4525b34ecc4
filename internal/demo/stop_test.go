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

// stream asks for a long answer and returns what arrived of it.
func stream(d *demo.Demo, tokens int) (id, body string, err error) {
	text := fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":%d,"stream":true}`, demo.Adapters[0], tokens)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+d.Entry+"/v1/completions", strings.NewReader(text))
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
		if len(d.Engine.Ran()) >= n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the streams did not begin")
}

func ready(d *demo.Demo) bool {
	response, err := http.Get("http://" + d.Entry + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// An operator restarts every role for an update while long drafts stream, and
// the balancer goes on sending until it has seen that the entry is not ready.
// A stop that cuts a draft off costs its caller all of it.
func TestAPlannedStopCutsNoStreamAndShowsNotReadyFirst(t *testing.T) {
	d, err := demo.StartWith(demo.Options{Listen: "127.0.0.1:0", TokenTime: 5 * time.Millisecond}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	const streams, tokens = 6, 300
	var callers sync.WaitGroup
	for i := range streams {
		callers.Go(func() {
			id, body, err := stream(d, tokens)
			whole := strings.HasSuffix(body, "data: [DONE]\n\n") && strings.Contains(body, engine.TokenText(demo.Adapters[0], id, tokens-1))
			if err != nil || !whole {
				t.Errorf("stream %d: whole %v, %v", i, whole, err)
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
		t.Errorf("a request that the balancer sent before it saw: %s %s", response.Status, body)
	}
	callers.Wait()
	if cut := <-stopped; cut != 0 {
		t.Errorf("the stop cut %d requests off", cut)
	}
}

// A stop takes too long for its operator, who sends a second signal. It must
// end, and say how many requests that cost.
func TestASecondSignalEndsTheStopAndCountsWhatItCut(t *testing.T) {
	d, err := demo.StartWith(demo.Options{Listen: "127.0.0.1:0", TokenTime: 10 * time.Millisecond}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, _, err := stream(d, 3000)
		ended <- err
	}()
	awaitRunning(t, d, 1)
	ctx, second := context.WithCancel(context.Background())
	stopped := make(chan int, 1)
	go func() { stopped <- d.Stop(ctx) }()
	for ready(d) {
		time.Sleep(time.Millisecond)
	}
	second()
	if cut := <-stopped; cut == 0 {
		t.Error("the stop says that it cut nothing off")
	}
	if err := <-ended; err == nil {
		t.Error("the caller saw a clean end")
	}
}
