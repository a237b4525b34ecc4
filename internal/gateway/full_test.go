package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// Guards against more requests of an entry at a plain server than three for each slot that it reports, also when they
// arrive at once, and against a request that waits for a full server in place of a refusal.
func TestPlainServerHasThreeRequestsPerSlotAtMost(t *testing.T) {
	const servers, slots = 4, 2
	proceed := make(chan struct{})
	g := newTestGateway(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
		<-proceed
		respond(http.StatusOK, "Signed", "body")(w, r)
	}})
	release := sync.OnceFunc(func() { close(proceed) })
	// A server's Close waits for its handlers.
	t.Cleanup(release)
	g.servers.start(context.Background())
	g.servers.mu.Lock()
	for _, v := range g.servers.byID {
		v.slots = slots
	}
	g.servers.mu.Unlock()
	send := func(id string) int {
		r := httptest.NewRequest(http.MethodGet, "http://h/look/", nil)
		r.Header.Set("Id", id)
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		return w.Code
	}
	const sent, most = 40, servers * slots * maxPerSlot
	noRoom := refusedNoRoomCount.Value()
	codes := make(chan int, sent)
	var requests sync.WaitGroup
	for i := range sent {
		requests.Go(func() { codes <- send(fmt.Sprint("r", i)) })
	}
	for range sent - most {
		select {
		case code := <-codes:
			if code != http.StatusServiceUnavailable {
				t.Errorf("a request beyond the bound got status %d, want 503", code)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("requests beyond the bound were not refused at once")
		}
	}
	if got := refusedNoRoomCount.Value() - noRoom; got != sent-most {
		t.Errorf("%d refusals were counted for want of room, want %d", got, sent-most)
	}
	g.servers.mu.Lock()
	for id, v := range g.servers.byID {
		if v.inflight != slots*maxPerSlot {
			t.Errorf("%d requests are at %s, want %d", v.inflight, id, slots*maxPerSlot)
		}
	}
	g.servers.mu.Unlock()
	release()
	requests.Wait()
	for range most {
		if code := <-codes; code != http.StatusOK {
			t.Errorf("a request within the bound got status %d", code)
		}
	}
	if code := send("later"); code != http.StatusOK {
		t.Errorf("once the servers had room, a request got status %d", code)
	}
}

// Guards against a bound where a server reports no slots, or an agent decides.
func TestServersWithoutReportedSlotsAreNeverFull(t *testing.T) {
	for _, v := range []*server{{inflight: 1000}, {inflight: 1000, slots: 1, agent: &agentClient{}}} {
		if v.full() {
			t.Errorf("%d requests at a server with %d slots are too many", v.inflight, v.slots)
		}
	}
}
