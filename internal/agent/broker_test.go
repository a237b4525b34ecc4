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

// storeMeter counts the loads that engines have in flight together.
type storeMeter struct{ now, most atomic.Int64 }

func (m *storeMeter) watch(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/v1/load") {
			next.ServeHTTP(w, r)
			return
		}
		now := m.now.Add(1)
		for most := m.most.Load(); now > most && !m.most.CompareAndSwap(most, now); most = m.most.Load() {
		}
		next.ServeHTTP(w, r)
		m.now.Add(-1)
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
	var duties sync.WaitGroup
	duties.Go(func() { _ = server.Serve(t.Context(), listener) })
	duties.Go(func() { loads.Run(t.Context()) })
	stop = sync.OnceFunc(func() {
		_ = listener.Close()
		server.Close()
	})
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

// Three servers wake up together and load at will: the weight store gets slower
// for all of them. The broker holds them to its limit; when it dies, they go on.
func TestAgentsShareTheWeightStoreAndOutliveTheirBroker(t *testing.T) {
	const limit = 2
	address, stopBroker := startBroker(t, limit)
	var meter storeMeter
	var urls []string
	for range 3 {
		e := engine.New(engine.Options{BaseModel: "base", Slots: 4, TokenTime: time.Millisecond, LoadTime: 20 * time.Millisecond})
		server := httptest.NewServer(meter.watch(e.Handler()))
		t.Cleanup(server.Close)
		b := &bench{engine: e, engineURL: server.URL, server: fmt.Sprintf("floor-assist-%d", len(urls))}
		url, _ := b.startAgent(t, 4, address)
		urls = append(urls, url)
	}
	answerAll := func(first int) {
		var callers sync.WaitGroup
		for i, url := range urls {
			for adapter := range 8 {
				callers.Go(func() {
					model := fmt.Sprintf("a%d@1", first+10*i+adapter)
					if got := ask(t.Context(), url, model, "2"); got.status != http.StatusOK || got.ran != model {
						t.Errorf("%s: %+v", model, got)
					}
				})
			}
		}
		callers.Wait()
	}
	answerAll(0)
	if most := meter.most.Load(); most > limit {
		t.Errorf("%d loads were in flight with a limit of %d", most, limit)
	}
	stopBroker()
	answerAll(100)
}
