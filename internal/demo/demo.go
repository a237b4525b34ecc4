// Package demo runs every role, a stand-in engine and a stand-in plain service
// in one process on loopback.
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

// Names of the sample contract's objects.
const (
	BaseModel   = "floor-assist-base"
	CallerKey   = "demo-caller-key"
	OperatorKey = "demo-operator-key"
	announceKey = "demo-announce-key"
	ContractID  = "demo"
	ServiceName = "booking-desk"
)

// Adapters are the sample adapters.
var Adapters = []string{"rehearsal-plan@1", "rehearsal-plan@2", "costume-advice@1", "quote-draft@1", "shift-handover@1"}

const (
	demoSlots       = 2
	demoTokenTime   = 10 * time.Millisecond
	demoLoadTime    = 250 * time.Millisecond
	announcePeriod  = 200 * time.Millisecond
	readyTimeout    = 10 * time.Second
	readyPoll       = 20 * time.Millisecond
	headerTimeout   = 10 * time.Second
	loopbackAnyPort = "127.0.0.1:0"
)

// Demo is a running demonstration.
type Demo struct {
	Engine   *engine.Engine
	Service  *service.Service
	Entry    string
	Operator string
	// Peer, Agent and Status are the addresses of the other listeners.
	Peer   string
	Agent  string
	Status string
	// EngineAddress is where the stand-in engine itself listens.
	EngineAddress string

	daemon  *daemon.Daemon
	servers []*http.Server
	cancel  context.CancelFunc
	// operators calls the operators' interface, by the given scheme.
	operators *http.Client
	scheme    string
}

// Options shape the demo; the zero value is the ordinary one.
type Options struct {
	// Listen is the address of the callers' interface; any free port by default.
	Listen string
	// TokenTime and LoadTime are the stand-in engine's.
	TokenTime time.Duration
	LoadTime  time.Duration
	// Slots and Capacity are the stand-in engine's.
	Slots    int
	Capacity int
	// Limits are the sample contract's.
	Limits contract.Limits
	// PeerTLS secures the traffic between the roles.
	PeerTLS *settings.PeerTLS
}

func (o *Options) setDefaults() {
	o.Listen = cmp.Or(o.Listen, loopbackAnyPort)
	o.TokenTime = cmp.Or(o.TokenTime, demoTokenTime)
	o.LoadTime = cmp.Or(o.LoadTime, demoLoadTime)
	o.Slots = cmp.Or(o.Slots, demoSlots)
	o.Limits = cmp.Or(o.Limits, contract.Limits{
		RequestsPerSecond: 100,
		TokensPerMinute:   1_000_000,
		Concurrency:       64,
		MaxWait:           10 * time.Second,
	})
}

// Start runs the demo with the callers' interface on the given address.
func Start(listen string, log *zap.Logger) (*Demo, error) {
	return StartWith(Options{Listen: listen}, log)
}

// StartWith runs the demo.
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
	engineAddress, err := d.serve(d.Engine.Handler())
	if err != nil {
		return err
	}
	d.EngineAddress = engineAddress
	serviceAddress, err := d.serve(d.Service)
	if err != nil {
		return err
	}
	d.operators, d.scheme, err = operatorClient(options.PeerTLS)
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

func (d *Demo) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
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
			AnnounceInterval: settings.Duration(announcePeriod),
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

// announceService announces the stand-in service as a service of any language
// would: by HTTP, with a key of its own.
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
		time.Sleep(announcePeriod)
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
	response, err := d.operators.Do(request)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	return response.Body.Close()
}

// OperatorClient returns an HTTP client that trusts the operators' interface.
func (d *Demo) OperatorClient() *http.Client { return d.operators }

// OperatorURL is the base URL of the operators' interface.
func (d *Demo) OperatorURL() string { return d.scheme + "://" + d.Operator }

// operatorClient trusts the demo's own authority when the roles use TLS.
func operatorClient(tlsFiles *settings.PeerTLS) (*http.Client, string, error) {
	if tlsFiles == nil {
		return http.DefaultClient, "http", nil
	}
	client, err := operator.Trusting(tlsFiles.Authority)
	return client, "https", err
}

// awaitReady returns once both sample servers are in the directory and the
// entry has the sample configuration.
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
		case <-time.After(readyPoll):
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

// hasSample reports whether the entry has the last object of the sample, which
// reaches it with the next batch of changes.
func (d *Demo) hasSample() bool {
	ref, err := catalogue.ParseRef(Adapters[len(Adapters)-1])
	if err != nil {
		panic(err)
	}
	_, found := d.daemon.Follower().Config().Adapter(ref)
	return found
}

// CurlLine is a command that gets a whole answer from the demo.
func (d *Demo) CurlLine() string {
	return fmt.Sprintf(`curl -sS http://%s/v1/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"%s","prompt":"Draft a rehearsal plan.","max_tokens":8}'`,
		d.Entry, CallerKey, Adapters[0])
}

// Stop ends the demo gracefully and says how many requests it cut off.
func (d *Demo) Stop(ctx context.Context) int {
	cut := 0
	if d.daemon != nil {
		cut = d.daemon.Stop(ctx)
	}
	d.cancel()
	for _, server := range d.servers {
		_ = server.Close()
	}
	return cut
}
