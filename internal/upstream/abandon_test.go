package upstream

import (
	"context"
	"slices"
	"testing"

	"github.com/rosemarypass/rosemarypass/internal/standin/link"
)

func pathRequest(id string) *Request {
	request := newRequest(id)
	request.URI = "/" + id
	return request
}

// Guards against a request that reaches its server after its caller has left.
func TestRequestOfDepartedCallerIsNotDelivered(t *testing.T) {
	for _, c := range []struct {
		name string
		want []string
	}{
		{"on a new connection", []string{}},
		{"on a kept connection", []string{link.PathServed}},
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
			pool, target := NewPool(testTimeout, NewMemory(0)), Target{Address: network.Address(), ID: "s"}
			for range c.want {
				if _, _, _, err := pool.CallBuffered(t.Context(), target, pathRequest("served"), 1<<10); err != nil {
					t.Fatal(err)
				}
			}
			network.Hold()
			ctx, leave := context.WithCancel(t.Context())
			failure := make(chan error, 1)
			go func() {
				_, err := pool.Call(ctx, target, pathRequest("left"))
				failure <- err
			}()
			network.AwaitHeld("body")
			leave()
			if err := <-failure; err == nil || !Sent(err) {
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
