package control_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/control"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// sharedLog is a fake of the replicated log. It applies each command on every control
// instance that is not isolated.
type sharedLog struct {
	members []*member
	mu      sync.Mutex
	index   uint64
	// addresses are the addresses at which daemons reach the members.
	addresses []string
}

// member is the Log of one control instance, backed by the shared log.
type member struct {
	log     *sharedLog
	control *control.Control
	applied atomic.Uint64
	// isolated is true while the instance is partitioned from the other instances.
	isolated atomic.Bool
	// stop simulates the end of the instance's process: connections to it are
	// refused.
	stop func()
}

func (m *member) Propose(_ context.Context, data []byte) ([]byte, error) {
	if m.isolated.Load() {
		return nil, errors.New("no answer from a quorum")
	}
	m.log.mu.Lock()
	defer m.log.mu.Unlock()
	m.log.index++
	var answer []byte
	for _, other := range m.log.members {
		if !other.isolated.Load() {
			answer = other.control.Apply(m.log.index, data)
			other.applied.Store(m.log.index)
		}
	}
	return answer, nil
}

func (m *member) Barrier(context.Context) error {
	if m.isolated.Load() {
		return errors.New("no quorum")
	}
	return nil
}

func (m *member) Standing() freshness.Standing {
	applied := m.applied.Load()
	return freshness.Standing{LastIndex: applied, Applied: applied, Voter: true, Voters: m.log.addresses}
}

// cluster runs control instances on loopback.
type cluster struct {
	t       testing.TB
	members []*member
	peers   []string
}

// newCluster starts control instances. A counter, if given, counts the bytes
// transferred over their connections.
func newCluster(t testing.TB, instances int, options control.Options, counters ...*atomic.Int64) *cluster {
	c := &cluster{t: t}
	shared := &sharedLog{}
	listeners := make([]net.Listener, instances)
	for i := range instances {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = listener
		for _, counter := range counters {
			listeners[i] = countingListener{listener, counter}
		}
		c.peers = append(c.peers, listener.Addr().String())
	}
	shared.addresses = c.peers
	for i, listener := range listeners {
		options.Instance, options.Peers = fmt.Sprint("control-", i), c.peers
		m := &member{log: shared, control: control.New(options, zap.NewNop())}
		m.control.UseLog(m)
		shared.members = append(shared.members, m)
		c.serve(m, listener)
	}
	c.members = shared.members
	return c
}

func (c *cluster) serve(m *member, listener net.Listener) {
	server := rpc.NewServer(m.control.Handlers())
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(ctx, listener) }()
	go m.control.Run(ctx)
	m.stop = sync.OnceFunc(func() {
		_ = listener.Close()
		server.Close()
		cancel()
	})
	c.t.Cleanup(m.stop)
}

func (c *cluster) propose(i int, command state.Command) state.Result {
	c.t.Helper()
	result, err := c.members[i].control.Propose(context.Background(), command)
	if err != nil {
		c.t.Fatal(err)
	}
	return result
}

func (c *cluster) follow(name string, peers ...string) *follow.Follower {
	return c.followWith(follow.Options{Daemon: name, Peers: peers})
}

func (c *cluster) followWith(options follow.Options) *follow.Follower {
	f := follow.New(options, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	go f.Run(ctx)
	c.t.Cleanup(cancel)
	return f
}

func putContract(expected uint64, rate float64) state.Command {
	return state.Command{PutContract: &state.PutContract{Expected: expected, Contract: contract.Contract{
		ID:     "cascade",
		Limits: contract.Limits{RequestsPerSecond: rate, TokensPerMinute: 1, Concurrency: 1, MaxWait: time.Second},
		Share:  1,
	}}}
}

func putAdapter(i int) state.Command {
	return state.Command{PutAdapter: &catalogue.Adapter{
		Ref:       catalogue.Ref{Adapter: fmt.Sprintf("quote-draft-%06d", i), Version: "1"},
		BaseModel: "base",
		Source:    fmt.Sprintf("store://adapters/quote-draft-%06d@1", i),
	}}
}

var putModel = state.Command{PutModel: &catalogue.Model{Name: "base"}}

// eventually polls a condition until it is true. Its time limit is reached only if the
// test fails.
func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for " + description)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func watch(t testing.TB, c *control.Control, in wire.Watch) wire.WatchReply {
	t.Helper()
	handler := c.Handlers()[wire.MethodWatch]
	reply, err := handler(context.Background(), mustJSON(t, in))
	if err != nil {
		t.Fatal(err)
	}
	return reply.(wire.WatchReply)
}

// When a daemon moves to a control instance that has not yet applied the latest
// changes, it must not adopt that instance's older state, which would restore a
// contract that has since been changed.
func TestDaemonIgnoresOlderStateOfLaggingInstance(t *testing.T) {
	c := newCluster(t, 2, control.Options{})
	first := c.propose(0, putContract(0, 1))
	c.members[1].isolated.Store(true)
	second := c.propose(0, putContract(first.Index, 2))

	config := follow.NewConfig()
	eventually(t, "the second change", func() bool {
		ahead := watch(t, c.members[0].control, wire.Watch{Daemon: "d", ConfigIndex: first.Index})
		config.Apply(ahead.Changes, ahead.ConfigIndex)
		return config.Index() == second.Index
	})
	behind := watch(t, c.members[1].control, wire.Watch{Daemon: "d", ConfigIndex: config.Index()})
	config.Apply(behind.Changes, behind.ConfigIndex)
	// A snapshot of the lagging instance that is delivered late has no effect either.
	late := watch(t, c.members[1].control, wire.Watch{Daemon: "late"})
	var old []state.Change
	if err := wire.Unpack(late.Snapshot.Changes, &old); err != nil {
		t.Fatal(err)
	}
	config.Apply(old, late.Snapshot.Index)
	got, _ := config.Contract("cascade")
	if config.Index() != second.Index || got.Limits.RequestsPerSecond != 2 {
		t.Errorf("got index %d and contract %+v, want those of the second change", config.Index(), got)
	}
}

// A daemon that has missed hundreds of changes must get all of them, as changes or as
// a snapshot, in messages of bounded size.
func TestDaemonCatchesUpByTailOrSnapshot(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name             string
		adapters, behind int
		tailLength       int
		wantPages        bool
	}{
		{name: "a few changes", adapters: 300, behind: 3, tailLength: 4096},
		{name: "hundreds of changes", adapters: 900, behind: 400, tailLength: 4096, wantPages: true},
		{name: "beyond the tail", adapters: 300, behind: 200, tailLength: 50, wantPages: true},
		{name: "from nothing", adapters: 9000, behind: 9000, tailLength: 64, wantPages: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			const messageBytes = 16 << 10
			c := newCluster(t, 1, control.Options{TailLength: test.tailLength, MessageBytes: messageBytes})
			c.propose(0, putModel)
			config, pages := follow.NewConfig(), 0
			var from uint64
			for i := range test.adapters {
				result := c.propose(0, putAdapter(i))
				if i == test.adapters-test.behind-1 {
					from = result.Index
				}
			}
			config.Apply(nil, from)
			in := wire.Watch{Daemon: "d"}
			for config.Index() != uint64(test.adapters)+1 {
				in.ConfigIndex, in.WaitMillis = config.Index(), 1000
				reply := watch(t, c.members[0].control, in)
				changes, err := reply.AllChanges()
				if err != nil {
					t.Fatal(err)
				}
				config.Apply(changes, reply.ConfigIndex)
				if size := len(mustJSON(t, reply)); size > messageBytes+2048 && reply.Snapshot == nil {
					t.Fatalf("message of %d bytes exceeds the bound", size)
				}
				if page := reply.Snapshot; page != nil {
					pages++
					var changes []state.Change
					if err := wire.Unpack(page.Changes, &changes); err != nil {
						t.Fatal(err)
					}
					config.Merge(changes)
					in.SnapshotIndex, in.SnapshotPage = page.Index, page.Page+1
					if page.Last {
						config.Apply(nil, page.Index)
					}
				}
			}
			if (pages > 0) != test.wantPages {
				t.Errorf("got %d snapshot pages", pages)
			}
			for i := max(0, test.adapters-test.behind); i < test.adapters; i++ {
				if _, found := config.Adapter(putAdapter(i).PutAdapter.Ref); !found {
					t.Fatalf("adapter %d is missing", i)
				}
			}
		})
	}
}

// A control instance that is partitioned from the other control instances still
// answers its daemons. An entry that stayed with it would continue under outdated
// contracts.
func TestDaemonLeavesIsolatedInstance(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, control.Options{})
	first := c.propose(0, putContract(0, 1))
	followers := make([]*follow.Follower, 0, 4)
	for i := range 4 {
		f := c.follow(fmt.Sprint("entry-", i), c.peers...)
		followers = append(followers, f)
		eventually(t, "the first contract", func() bool { return f.Config().Index() == first.Index && f.Freshness().MayAdmit() })
	}
	c.members[1].isolated.Store(true)
	second := c.propose(0, putContract(first.Index, 2))
	for _, f := range followers {
		eventually(t, "the second contract", func() bool { return f.Config().Index() == second.Index })
		eventually(t, "a proof of freshness", func() bool { return f.Freshness().Kind == freshness.Fresh })
	}
}

// An entry that reaches only an isolated control instance must stop admitting rather
// than serve under possibly outdated contracts. It must keep its copy and
// recover once the network does.
func TestDaemonStopsAdmittingWithOnlyIsolatedInstance(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, control.Options{})
	first := c.propose(0, putContract(0, 1))
	announce := wire.Announce{Announcement: announcement("floor-1", 1)}
	if _, err := c.members[1].control.Handlers()[wire.MethodAnnounce](context.Background(), mustJSON(t, announce)); err != nil {
		t.Fatal(err)
	}
	f := c.follow("entry", c.peers[1], "127.0.0.1:1", "127.0.0.1:2")
	eventually(t, "a fresh copy", func() bool { return f.Freshness().Kind == freshness.Fresh && f.Config().Index() == first.Index })
	eventually(t, "the server", func() bool { return len(f.Servers()) == 1 })
	c.members[1].isolated.Store(true)
	eventually(t, "the copy to be no longer fresh", func() bool { return f.Freshness().Kind != freshness.Fresh })
	if got := f.Config().Index(); got != first.Index {
		t.Errorf("got index %d, want the index of the first contract", got)
	}
	c.members[1].isolated.Store(false)
	eventually(t, "a fresh copy again", func() bool { return f.Freshness().Kind == freshness.Fresh })
}

// While all control instances are stopped, for example after a failed upgrade, nothing
// can be changed. Entries must therefore continue to serve with the contracts and the
// servers that they know.
func TestEntryServesWithoutControlInstances(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, control.Options{})
	first := c.propose(0, putContract(0, 1))
	for _, m := range c.members {
		if _, err := m.control.Handlers()[wire.MethodAnnounce](context.Background(), mustJSON(t, wire.Announce{Announcement: announcement("floor-1", 1)})); err != nil {
			t.Fatal(err)
		}
	}
	// The long lease leaves room for delays on a busy machine.
	f := c.followWith(follow.Options{Daemon: "entry", Peers: c.peers, Lease: 6 * time.Second})
	eventually(t, "a fresh copy with the server", func() bool {
		return f.Freshness().Kind == freshness.Fresh && f.Config().Index() == first.Index && len(f.Servers()) == 1
	})
	for _, m := range c.members {
		m.stop()
	}
	eventually(t, "the stop to be noticed", func() bool { return f.Freshness().Kind != freshness.Fresh })
	if got := f.Freshness(); got.Kind != freshness.Unchangeable || !got.MayAdmit() {
		t.Errorf("got %+v, want an unchangeable configuration that admits", got)
	}
	if _, found := f.Config().Contract("cascade"); !found || len(f.Servers()) != 1 {
		t.Errorf("contract present: %t, servers %v; want the contract and one server", found, f.Servers())
	}
}

func announcement(server string, sequence uint64) membership.Announcement {
	return membership.Announcement{Server: server, Kind: membership.KindEngine, Address: "127.0.0.1:1", Incarnation: 1, Sequence: sequence}
}

// When operators drain a server, entries must stop choosing it even before its agent
// has announced the drain.
func TestWantedStateReachesEntriesAndAgent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, control.Options{ServerLease: time.Minute})
	handler := c.members[0].control.Handlers()[wire.MethodAnnounce]
	if _, err := handler(context.Background(), mustJSON(t, wire.Announce{Announcement: announcement("floor-1", 1)})); err != nil {
		t.Fatal(err)
	}
	entry := c.follow("entry", c.peers...)
	agent := follow.New(follow.Options{Daemon: "agent", Peers: c.peers, Server: "floor-1"}, zap.NewNop())
	go agent.Run(t.Context())
	eventually(t, "the server", func() bool { return len(entry.Servers()) == 1 && !entry.Servers()[0].Leaving })
	result := c.propose(0, state.Command{PutServer: &state.PutServer{Server: state.Server{Name: "floor-1", Wanted: state.WantedDraining}}})
	eventually(t, "the drain at the entry", func() bool { return entry.Servers()[0].Leaving })
	eventually(t, "the drain at the agent", func() bool { return agent.Config().Wanted("floor-1") == state.WantedDraining })
	if len(agent.Servers()) != 0 {
		t.Error("the agent received the directory")
	}
	c.propose(0, putModel)
	eventually(t, "the agent's confirmation of another change", func() bool { return agent.Config().Index() == result.Index+1 })
}
