package relay_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/standin/link"
)

func post(t *testing.T, ctx context.Context, address, path string, unpooled bool) *http.Request {
	t.Helper()
	request, err := relay.NewRequest(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader([]byte("body")), 4)
	if err != nil {
		t.Fatal(err)
	}
	request.Close = unpooled
	return request
}

// Guards against a request that reaches an agent or engine after its caller has left or its
// time is over.
func TestAbandonedRequestIsNotDelivered(t *testing.T) {
	for _, c := range []struct {
		name     string
		unpooled bool
		want     []string
	}{
		{"on a kept connection", false, []string{link.PathServed}},
		{"on a new connection", false, []string{}},
		{"on a connection of its own", true, []string{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, err := link.StartRecorder(nil)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Close)
			network, err := link.Start(server.Address())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(network.Close)
			client := relay.NewClient(time.Minute)
			for range c.want {
				response, err := client.Do(post(t, t.Context(), network.Address(), link.PathServed, c.unpooled))
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			network.Hold()
			ctx, leave := context.WithCancel(t.Context())
			request := post(t, ctx, network.Address(), "/left", c.unpooled)
			failure := make(chan error, 1)
			go func() {
				_, err := client.Do(request)
				failure <- err
			}()
			network.AwaitHeld("body")
			leave()
			if err := <-failure; err == nil || !relay.Sent(err) {
				t.Fatalf("the call ended with %v, want an error after the request was sent", err)
			}
			network.AwaitEnded(1)
			network.Heal()
			server.AwaitEnd()
			if got := server.Paths(); !slices.Equal(got, c.want) {
				t.Errorf("the server received %q, want %q", got, c.want)
			}
		})
	}
}
