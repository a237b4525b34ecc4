// Package demo runs all roles together with a stand-in engine and a stand-in
// plain service in one process on the loopback interface.
package demo

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/control"
	"github.com/rosemarypass/rosemarypass/internal/daemon"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/loopback"
	"github.com/rosemarypass/rosemarypass/internal/operator"
	"github.com/rosemarypass/rosemarypass/internal/settings"
	"github.com/rosemarypass/rosemarypass/internal/standin/engine"
	"github.com/rosemarypass/rosemarypass/internal/standin/service"
)

// Names and keys of the sample configuration.
const (
	BaseModel   = "floor-assist-base"
	CallerKey   = "demo-caller-key"
	OperatorKey = "demo-operator-key"
	announceKey = "demo-announce-key"
	ContractID  = "demo"
	ServiceName = "booking-desk"
)

// Adapters lists the sample adapters as adapter@version.
var Adapters = []string{"rehearsal-plan@1", "rehearsal-plan@2", "costume-advice@1", "quote-draft@1", "shift-handover@1"}

const (
	defaultSlots      = 2
	defaultTokenTime  = 10 * time.Millisecond
	defaultLoadTime   = 250 * time.Millisecond
	announceInterval  = 200 * time.Millisecond
	readyTimeout      = 10 * time.Second
	readyPollInterval = 20 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
	loopbackAddress   = "127.0.0.1:0"
)

// Demo is a running demo deployment.
type Demo struct {
	Engine   *engine.Engine
	Service  *service.Service
	Entry    string
	Operator string
	// Peer, Agent and Status are the addresses of the other listeners.
	Peer   string
	Agent  string
	Status string
	// EngineAddress is the listen address of the stand-in engine.
	EngineAddress string

	daemon  *daemon.Daemon
	servers []*http.Server
	cancel  context.CancelFunc
	// operatorClient calls the operators' interface; scheme is its URL scheme.
	operatorClient *http.Client
	scheme         string
}

// Options configures the demo. The zero value selects the defaults.
type Options struct {
	// Listen is the address of the callers' interface. It defaults to a free
	// loopback port.
	Listen string
	// TokenTime and LoadTime are the stand-in engine's time per token and per
	// adapter load.
	TokenTime time.Duration
	LoadTime  time.Duration
	// Slots and Capacity are the stand-in engine's number of adapter slots and
	// its maximum batch size.
	Slots    int
	Capacity int
	// Limits are the limits of the sample contract.
	Limits contract.Limits
	// PeerTLS secures the traffic between the roles.
	PeerTLS *settings.PeerTLS
}

func (o *Options) setDefaults() {
	o.Listen = cmp.Or(o.Listen, loopbackAddress)
	o.TokenTime = cmp.Or(o.TokenTime, defaultTokenTime)
	o.LoadTime = cmp.Or(o.LoadTime, defaultLoadTime)
	o.Slots = cmp.Or(o.Slots, defaultSlots)
	o.Limits = cmp.Or(o.Limits, contract.Limits{
		RequestsPerSecond: 100,
		TokensPerMinute:   1_000_000,
		Concurrency:       64,
		MaxWait:           10 * time.Second,
	})
}

// Start starts the demo with the callers' interface on the address listen.
func Start(listen string, log *zap.Logger) (*Demo, error) {
	return StartWith(Options{Listen: listen}, log)
}

// StartWith starts the demo with the given options and returns once it is ready.
func StartWith(options Options, log *zap.Logger) (*Demo, error) {
	options.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	d := &Demo{
		Engine: engine.New(engine.Options{
			BaseModel:      BaseModel,
			Slots:          options.Slots,
			Capacity:       options.Capacity,
			TokenTime:      options.TokenTime,
			LoadTime:       options.LoadTime,
			EnforceFencing: true,
		}),
		Service: service.New(service.Options{}),
		cancel:  cancel,
	}
	if err := d.start(ctx, options, log); err != nil {
		d.Stop(ctx)
		return nil, err
	}
	return d, nil
}

func (d *Demo) start(ctx context.Context, options Options, log *zap.Logger) error {
	engineAddress, err := d.serveLoopback(d.Engine.Handler())
	if err != nil {
		return err
	}
	d.EngineAddress = engineAddress
	serviceAddress, err := d.serveLoopback(d.Service)
	if err != nil {
		return err
	}
	d.operatorClient, d.scheme, err = newOperatorClient(options.PeerTLS)
	if err != nil {
		return err
	}
	s, err := sampleSettings(options, engineAddress)
	if err != nil {
		return err
	}
	d.daemon, err = daemon.Start(s, log)
	if err != nil {
		return err
	}
	d.Entry, d.Operator = d.daemon.EntryAddress(), s.Control.OperatorListen
	d.Peer, d.Agent, d.Status = s.Control.PeerListen, s.Agent.Listen, s.StatusListen
	if err := writeSample(ctx, d.daemon, options.Limits); err != nil {
		return err
	}
	go d.announceService(ctx, serviceAddress)
	return d.awaitReady(ctx)
}

func (d *Demo) serveLoopback(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func sampleSettings(options Options, engineAddress string) (settings.Settings, error) {
	addresses, err := loopback.Addresses(4)
	if err != nil {
		return settings.Settings{}, err
	}
	return settings.Settings{
		Instance:       "demo",
		DataCentre:     "demo-a",
		ControlPeers:   []string{addresses[0]},
		PlaintextPeers: options.PeerTLS == nil,
		PeerTLS:        options.PeerTLS,
		StatusListen:   addresses[3],
		Entry: &settings.Entry{
			Listen:       options.Listen,
			MaxBodyBytes: 4 << 20,
			DialTimeout:  settings.Duration(time.Second),
		},
		Agent: &settings.Agent{
			Listen:           addresses[1],
			Server:           "floor-assist-1",
			Pool:             "floor-assist",
			Engine:           "http://" + engineAddress,
			BaseModel:        BaseModel,
			Slots:            options.Slots,
			Queue:            64,
			LoadTimeout:      settings.Duration(5 * time.Second),
			AnnounceInterval: settings.Duration(announceInterval),
		},
		Control: &settings.Control{
			PeerListen:        addresses[0],
			OperatorListen:    addresses[2],
			OperatorKeyHashes: []string{follow.HashKey(OperatorKey)},
			AnnounceKeyHashes: []string{follow.HashKey(announceKey)},
		},
	}, nil
}

func writeSample(ctx context.Context, d *daemon.Daemon, limits contract.Limits) error {
	for _, command := range sampleCommands(limits) {
		result, err := d.Control().Propose(ctx, command)
		if err != nil {
			return err
		}
		if result.Code != state.CodeOK {
			return errors.Errorf("sample configuration refused: %s", result.Message)
		}
	}
	return nil
}

func sampleCommands(limits contract.Limits) []state.Command {
	commands := []state.Command{
		{PutContract: &state.PutContract{Contract: contract.Contract{
			ID:        ContractID,
			KeyHashes: []string{follow.HashKey(CallerKey)},
			Adapters:  []string{"*"},
			Services:  []string{ServiceName},
			Limits:    limits,
			Share:     1,
		}}},
		{PutModel: &catalogue.Model{Name: BaseModel}},
		{PutService: &state.PutService{Service: catalogue.Service{Name: ServiceName, Routes: []catalogue.Route{
			{Method: http.MethodGet, PathPrefix: "/", Idempotent: true},
			{Method: http.MethodPost, PathPrefix: "/deposits", RequireKey: true},
		}}}},
	}
	for _, name := range Adapters {
		ref, err := catalogue.ParseRef(name)
		if err != nil {
			panic(err)
		}
		adapter := catalogue.Adapter{Ref: ref, BaseModel: BaseModel, Source: "store://" + name}
		commands = append(commands, state.Command{PutAdapter: &adapter})
	}
	return commands
}

// announceService announces the stand-in service periodically over HTTP with a
// separate announce key, as a service written in any language would.
func (d *Demo) announceService(ctx context.Context, address string) {
	announcement := membership.Announcement{
		Server:      "booking-desk-1",
		Kind:        membership.KindService,
		Pool:        ServiceName,
		DataCentre:  "demo-a",
		Address:     address,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	for ctx.Err() == nil {
		announcement.Sequence++
		_ = d.announce(ctx, announcement)
		time.Sleep(announceInterval)
	}
}

func (d *Demo) announce(ctx context.Context, announcement membership.Announcement) error {
	body, err := json.Marshal(announcement)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.OperatorURL()+control.AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build announcement")
	}
	request.Header.Set("Authorization", "Bearer "+announceKey)
	response, err := d.operatorClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	return response.Body.Close()
}

// OperatorClient returns an HTTP client that trusts the certificate of the
// operators' interface.
func (d *Demo) OperatorClient() *http.Client { return d.operatorClient }

// OperatorURL returns the base URL of the operators' interface.
func (d *Demo) OperatorURL() string { return d.scheme + "://" + d.Operator }

// newOperatorClient returns an HTTP client for the operators' interface and the
// URL scheme to use. With TLS, the client trusts the demo's own authority.
func newOperatorClient(tlsFiles *settings.PeerTLS) (*http.Client, string, error) {
	if tlsFiles == nil {
		return http.DefaultClient, "http", nil
	}
	client, err := operator.NewHTTPClient(tlsFiles.Authority)
	return client, "https", err
}

// awaitReady waits until both sample servers are in the directory and the entry
// has the sample configuration.
func (d *Demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if d.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("the demo did not become ready")
		case <-time.After(readyPollInterval):
		}
	}
}

func (d *Demo) ready() bool {
	response, err := http.Get("http://" + d.Entry + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK && len(d.daemon.Follower().Servers()) == 2 && d.hasSample()
}

// hasSample reports whether the entry has received the last object of the sample
// configuration. Changes reach an entry in batches.
func (d *Demo) hasSample() bool {
	ref, err := catalogue.ParseRef(Adapters[len(Adapters)-1])
	if err != nil {
		panic(err)
	}
	_, found := d.daemon.Follower().Config().Adapter(ref)
	return found
}

// CurlCommand returns a curl command that requests a completion from the demo.
func (d *Demo) CurlCommand() string {
	return fmt.Sprintf(`curl -sS http://%s/v1/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"%s","prompt":"Draft a rehearsal plan.","max_tokens":8}'`,
		d.Entry, CallerKey, Adapters[0])
}

// Stop shuts the demo down gracefully and returns the number of requests that it
// aborted.
func (d *Demo) Stop(ctx context.Context) int {
	aborted := 0
	if d.daemon != nil {
		aborted = d.daemon.Stop(ctx)
	}
	d.cancel()
	for _, server := range d.servers {
		_ = server.Close()
	}
	return aborted
}
