package demo_test

import (
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/internal/demo"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/settings"
	"github.com/rosemarypass/rosemarypass/internal/standin/identity"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

func issueCertificates(t testing.TB) *settings.PeerTLS {
	t.Helper()
	files, err := identity.Write(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return &settings.PeerTLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority}
}

func startDemoWithTLS(t *testing.T) *demo.Demo {
	t.Helper()
	d, err := demo.StartWith(demo.Options{PeerTLS: issueCertificates(t)}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Stop(t.Context()) })
	return d
}

// Guards against clients without a certificate on the listeners between
// processes. Such a client could announce its own server to the directory and
// then receive customers' requests.
func TestPeerTLSRejectsClientsWithoutCertificate(t *testing.T) {
	d := startDemoWithTLS(t)
	response, body := post(t, d, "/v1/completions", demo.CallerKey, `{"model":"quote-draft@1","prompt":"x","max_tokens":1}`)
	if response.StatusCode != http.StatusOK {
		t.Fatalf("completion: got %s %s, want 200", response.Status, body)
	}
	response, body = post(t, d, "/services/booking-desk/deposits", demo.CallerKey, `{}`)
	if !strings.Contains(body, "idempotency_key_required") {
		t.Errorf("deposit without a key: got %s %s, want idempotency_key_required", response.Status, body)
	}

	client := rpc.NewClient(d.Peer)
	defer client.Close()
	announcement := membership.Announcement{Server: "stranger", Kind: membership.KindEngine, Pool: "floor-assist", Address: "127.0.0.1:1", BaseModel: demo.BaseModel, Incarnation: 1, Sequence: 1}
	var reply wire.AnnounceReply
	if err := client.Call(t.Context(), wire.MethodAnnounce, wire.Announce{Announcement: announcement}, &reply); err == nil {
		t.Error("a process without a certificate announced a server")
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+d.Agent+"/v1/completions", strings.NewReader(`{}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(wire.HeaderModel, "quote-draft@1")
	if agentResponse, err := http.DefaultClient.Do(request); err == nil {
		_ = agentResponse.Body.Close()
		if agentResponse.StatusCode == http.StatusOK {
			t.Error("the agent served a process without a certificate")
		}
	}
	if ran := d.Engine.Started(); len(ran) != 1 {
		t.Errorf("the engine ran %d requests, want 1", len(ran))
	}
}

func TestStatusListenerServesChecksAndCounters(t *testing.T) {
	d := startDemo(t)
	for _, path := range []string{"/healthz", "/readyz", "/debug/vars"} {
		response, err := http.Get("http://" + d.Status + path)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("%s: got %s, want 200", path, response.Status)
		}
	}
	response, err := http.Get("http://" + d.Entry + "/debug/vars")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusOK {
		t.Error("callers can read the counters")
	}
}
