package agent

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a request that is suspected, tried alone and refused for an hour because its engine stood still when its connection broke.
func TestOnlyAnEndedEngineCountsAsCrashed(t *testing.T) {
	const incarnation = 7
	report := func(number string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"incarnation":` + number + `}`)) }
	}
	for name, test := range map[string]struct {
		engine  http.HandlerFunc
		answers bool
		ended   bool
		want    bool
	}{
		"the engine reports":                {report("7"), true, false, false},
		"the engine has restarted":          {report("8"), true, false, true},
		"nothing listens at its address":    {report("7"), true, true, true},
		"the engine does not answer":        {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, false, false, false},
		"the engine answers with a failure": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(test.engine)
			defer server.Close()
			if test.ended {
				server.Close()
			}
			orders := newOrderClient(server.URL)
			if !test.answers {
				orders.timeout = 50 * time.Millisecond
			}
			a := &Agent{orders: orders}
			if got := a.incarnationEnded(t.Context(), &run{incarnation: incarnation}); got != test.want {
				t.Errorf("ended: %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a crash that is missed because the engine's listener outlives its connections, or is held by another process for a moment.
func TestEngineThatAcceptsWhileItEndsCountsAsCrashed(t *testing.T) {
	const accepted = 4
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer listener.Close()
		for range accepted {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	a := &Agent{orders: newOrderClient("http://" + listener.Addr().String())}
	if !a.incarnationEnded(t.Context(), &run{incarnation: 7}) {
		t.Error("the engine does not count as ended")
	}
}
