package agent_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/broker"
	"github.com/rosemarypass/rosemarypass/internal/control"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/standin/engine"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// loadMeter counts the loads that all engines have in flight and their peak.
type loadMeter struct{ inFlight, peak atomic.Int64 }

func (m *loadMeter) watch(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/v1/load") {
			next.ServeHTTP(w, r)
			return
		}
		now := m.inFlight.Add(1)
		for peak := m.peak.Load(); now > peak && !m.peak.CompareAndSwap(peak, now); peak = m.peak.Load() {
		}
		next.ServeHTTP(w, r)
		m.inFlight.Add(-1)
	})
}

func startBroker(t *testing.T, limit float64) (address string, stop func()) {
	t.Helper()
	loads := control.NewLoadBroker(broker.Options{Window: broker.WindowOptions{Initial: limit, Max: limit}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer(map[string]rpc.Handler{wire.MethodLoads: rpc.Typed(loads.Sync)})
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(t.Context(), listener) })
	wg.Go(func() { loads.Run(t.Context()) })
	stop = sync.OnceFunc(func() {
		_ = listener.Close()
		server.Close()
	})
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

// Three servers start loading at the same time. Without a limit, the weight
// store would become slow for all of them. The broker must enforce its limit,
// and the agents must continue when the broker fails.
func TestAgentsKeepBrokerLimitAndSurviveBrokerFailure(t *testing.T) {
	const limit = 2
	address, stopBroker := startBroker(t, limit)
	var meter loadMeter
	var urls []string
	for range 3 {
		e := engine.New(engine.Options{BaseModel: "base", Slots: 4, TokenTime: time.Millisecond, LoadTime: 20 * time.Millisecond})
		server := httptest.NewServer(meter.watch(e.Handler()))
		t.Cleanup(server.Close)
		b := &backend{engine: e, engineURL: server.URL, server: fmt.Sprintf("floor-assist-%d", len(urls))}
		url, _ := b.startAgent(t, 4, address)
		urls = append(urls, url)
	}
	requestAll := func(first int) {
		var callers sync.WaitGroup
		for i, url := range urls {
			for adapter := range 8 {
				callers.Go(func() {
					model := fmt.Sprintf("a%d@1", first+10*i+adapter)
					if got := complete(t.Context(), url, model, "2"); got.status != http.StatusOK || got.model != model {
						t.Errorf("request for %s: got %+v, want an answer of that model", model, got)
					}
				})
			}
		}
		callers.Wait()
	}
	requestAll(0)
	if peak := meter.peak.Load(); peak > limit {
		t.Errorf("%d loads were in flight with a limit of %d", peak, limit)
	}
	stopBroker()
	requestAll(100)
}
