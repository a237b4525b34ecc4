package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/relay"
)

const (
	callerKey = "caller"
	baseModel = "base"
	model     = "quote-draft@1"
)

// fixedSource is an entry.Source with fixed contents.
type fixedSource struct {
	config  *follow.Config
	servers []membership.Announcement
	// kind is the freshness of the configuration.
	kind freshness.Kind
}

func (s *fixedSource) Config() *follow.Config             { return s.config }
func (s *fixedSource) Servers() []membership.Announcement { return s.servers }
func (s *fixedSource) Freshness() freshness.State         { return freshness.State{Kind: s.kind} }

func newSource(servers ...membership.Announcement) *fixedSource {
	customer := contract.Contract{
		ID: "customer", Revision: 1, KeyHashes: []string{follow.HashKey(callerKey)}, Adapters: []string{"*"}, Services: []string{"*"}, Share: 1,
		Limits: contract.Limits{RequestsPerSecond: 1000, TokensPerMinute: 1 << 30, Concurrency: 1000, MaxWait: time.Minute},
	}
	desk := catalogue.Service{Name: "desk", Revision: 1, Routes: []catalogue.Route{
		{Method: http.MethodPost, PathPrefix: "/once"},
		{Method: http.MethodGet, PathPrefix: "/once"},
		{Method: http.MethodPost, PathPrefix: "/again", Idempotent: true},
		{Method: http.MethodHead, PathPrefix: "/again", Idempotent: true},
	}}
	ref, _ := catalogue.ParseRef(model)
	adapter := catalogue.Adapter{Ref: ref, BaseModel: baseModel, Source: "store://x"}
	config := follow.NewConfig()
	config.Apply([]state.Change{{Index: 1, Contract: &customer}, {Index: 1, Service: &desk}, {Index: 1, Adapter: &adapter}}, 1)
	return &fixedSource{config: config, servers: servers, kind: freshness.Fresh}
}

func service(name, address string, running int) membership.Announcement {
	return membership.Announcement{Server: name, Kind: membership.KindService, Pool: "desk", Address: address, Load: membership.Load{Running: running, Capacity: 1}}
}

func engineServer(name, address string) membership.Announcement {
	return membership.Announcement{Server: name, Kind: membership.KindEngine, BaseModel: baseModel, Address: address, Agent: true, Load: membership.Load{Capacity: 16}}
}

func newEntry(t *testing.T, options entry.Options, from entry.Source) (*entry.Entry, *httptest.Server) {
	t.Helper()
	e := entry.New(options, from, relay.NewClient(time.Second), zap.NewNop())
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return e, server
}

type entryServer = httptest.Server

// callResult is what a caller received for its request.
type callResult struct {
	status  int
	outcome outcome.Outcome
	header  http.Header
	trailer http.Header
	body    string
	// cut is true if the answer was truncated.
	cut bool
}

func call(t *testing.T, server *httptest.Server, method, path, key, body string) callResult {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{cut: true}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	reported, _ := outcome.Parse(response.Header.Get(outcome.Header))
	return callResult{status: response.StatusCode, outcome: reported, header: response.Header, body: string(data), cut: err != nil}
}
