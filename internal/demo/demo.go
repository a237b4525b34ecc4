// Package demo runs every role, a stand-in engine and a stand-in plain service
// in one process on loopback.
package demo

import (
	"context"
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
	"github.com/rosemarypass/rosemarypass/internal/daemon"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/settings"
	"github.com/rosemarypass/rosemarypass/internal/standin/engine"
	"github.com/rosemarypass/rosemarypass/internal/standin/service"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Names of the sample contract's objects.
const (
	BaseModel   = "floor-assist-base"
	CallerKey   = "demo-caller-key"
	OperatorKey = "demo-operator-key"
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

	daemon  *daemon.Daemon
	servers []*http.Server
	cancel  context.CancelFunc
}

// Start runs the demo with the callers' interface on the given address.
func Start(listen string, log *zap.Logger) (*Demo, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Demo{
		Engine:  engine.New(engine.Options{BaseModel: BaseModel, Slots: demoSlots, TokenTime: demoTokenTime, LoadTime: demoLoadTime, EnforceFencing: true}),
		Service: service.New(service.Options{}),
		cancel:  cancel,
	}
	if err := d.start(ctx, listen, log); err != nil {
		d.Stop(ctx)
		return nil, err
	}
	return d, nil
}

func (d *Demo) start(ctx context.Context, listen string, log *zap.Logger) error {
	engineAddress, err := d.serve(d.Engine.Handler())
	if err != nil {
		return err
	}
	serviceAddress, err := d.serve(d.Service)
	if err != nil {
		return err
	}
	s, err := sampleSettings(listen, engineAddress)
	if err != nil {
		return err
	}
	d.daemon, err = daemon.Start(s, log)
	if err != nil {
		return err
	}
	d.Entry, d.Operator = d.daemon.EntryAddress(), s.Control.OperatorListen
	if err := writeSample(ctx, d.daemon); err != nil {
		return err
	}
	go announceService(ctx, s.ControlPeers[0], serviceAddress)
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

func sampleSettings(listen, engineAddress string) (settings.Settings, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return settings.Settings{}, err
	}
	return settings.Settings{
		Instance:       "demo",
		DataCentre:     "demo-a",
		ControlPeers:   []string{addresses[0]},
		PlaintextPeers: true,
		Entry: &settings.Entry{
			Listen:       listen,
			MaxBodyBytes: 4 << 20,
			DialTimeout:  settings.Duration(time.Second),
		},
		Agent: &settings.Agent{
			Listen:           addresses[1],
			Server:           "floor-assist-1",
			Pool:             "floor-assist",
			Engine:           "http://" + engineAddress,
			BaseModel:        BaseModel,
			Slots:            demoSlots,
			Queue:            64,
			LoadTimeout:      settings.Duration(5 * time.Second),
			AnnounceInterval: settings.Duration(announcePeriod),
		},
		Control: &settings.Control{
			PeerListen:        addresses[0],
			OperatorListen:    addresses[2],
			OperatorKeyHashes: []string{follow.HashKey(OperatorKey)},
		},
	}, nil
}

func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range n {
		listener, err := net.Listen("tcp", loopbackAnyPort)
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func writeSample(ctx context.Context, d *daemon.Daemon) error {
	for _, command := range sampleCommands() {
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

func sampleCommands() []state.Command {
	commands := []state.Command{
		{PutContract: &state.PutContract{Contract: contract.Contract{
			ID:        ContractID,
			KeyHashes: []string{follow.HashKey(CallerKey)},
			Adapters:  []string{"*"},
			Services:  []string{ServiceName},
			Limits: contract.Limits{
				RequestsPerSecond: 100,
				TokensPerMinute:   1_000_000,
				Concurrency:       64,
				MaxWait:           10 * time.Second,
			},
			Share: 1,
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

func announceService(ctx context.Context, peer, address string) {
	client := rpc.NewClient(peer)
	defer client.Close()
	a := membership.Announcement{
		Server:      "booking-desk-1",
		Kind:        membership.KindService,
		Pool:        ServiceName,
		DataCentre:  "demo-a",
		Address:     address,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	for ctx.Err() == nil {
		a.Sequence++
		var reply wire.AnnounceReply
		_ = client.Call(ctx, wire.MethodAnnounce, wire.Announce{Announcement: a}, &reply)
		time.Sleep(announcePeriod)
	}
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
	return response.StatusCode == http.StatusOK && len(d.daemon.Follower().Servers()) == 2
}

// CurlLine is a command that gets a whole answer from the demo.
func (d *Demo) CurlLine() string {
	return fmt.Sprintf(`curl -sS http://%s/v1/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"%s","prompt":"Draft a rehearsal plan.","max_tokens":8}'`,
		d.Entry, CallerKey, Adapters[0])
}

// Stop ends the demo gracefully.
func (d *Demo) Stop(ctx context.Context) {
	if d.daemon != nil {
		d.daemon.Stop(ctx)
	}
	d.cancel()
	for _, server := range d.servers {
		_ = server.Close()
	}
}
