package mesh

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/coord/founding"
	"github.com/rosemarypass/rosemarypass/coord/overlay"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/wal"
)

// All processes start at once and know one seed, which may have no disk. They must form
// one log: of two, each would accept changes that the other never sees.
func TestSingleSeedFormsOneLog(t *testing.T) {
	f := startFleet(t, 3, 2)
	f.put(4, 5)
	for i := range f.nodes {
		if got := f.read(i); got != 5 {
			t.Errorf("process %d reads version %d, want 5", i, got)
		}
		eventually(t, func() bool { return f.nodes[i].Documents().Current().State.Version == 5 })
	}
	clusters := make(map[string]bool)
	for i := range 3 {
		// A process may read through another one before it is a member itself.
		eventually(t, f.nodes[i].host.isMember)
		_, cluster, _ := f.nodes[i].host.identity()
		clusters[cluster] = true
	}
	if len(clusters) != 1 {
		t.Errorf("the processes belong to logs %v, want one", clusters)
	}
}

// Disks are slow at the first start: when they open, their processes have long been up
// and know each other as processes without an open disk, so that each considers itself
// the only one that can hold the log. They must still form one log, or operators' changes
// are lost between several.
func TestSlowDisksFormOneLog(t *testing.T) {
	f := newFleet(t, 3, 0)
	var locks []io.Closer
	for i, folder := range f.folders {
		if err := (wal.OS{}).MkdirAll(folder); err != nil {
			t.Fatal(err)
		}
		lock, err := wal.OS{}.Lock(filepath.Join(folder, "LOCK"))
		if err != nil {
			t.Fatal(err)
		}
		locks = append(locks, lock)
		f.start(i, true)
	}
	eventually(t, func() bool {
		for _, n := range f.nodes {
			if len(n.Known()) < len(f.nodes) || time.Since(time.Unix(0, n.options.Self.Started)) < founding.SettleTime {
				return false
			}
		}
		return true
	})
	for _, lock := range locks {
		if err := lock.Close(); err != nil {
			t.Fatal(err)
		}
	}
	clusters := make(map[string]bool)
	for _, n := range f.nodes {
		eventually(t, func() bool { return n.host.isMember() })
		_, cluster, _ := n.host.identity()
		clusters[cluster] = true
	}
	if len(clusters) != 1 {
		t.Errorf("the processes belong to %d logs, want 1", len(clusters))
	}
}

// A machine loses its disk and comes back at the same address. Its votes and promises are
// lost, so it must rejoin as a new member. An operator's change must survive this, also
// when another disk is lost afterwards.
func TestWipedMemberRejoinsAsNewMember(t *testing.T) {
	f := startFleet(t, 4, 0)
	f.put(0, 1)
	eventually(t, func() bool { return f.voters(0) == 4 })
	for version, i := range map[uint64]int{2: 1, 3: 2} {
		f.put(0, version)
		before, _, _ := f.nodes[i].host.identity()
		f.stop(i)
		if err := os.RemoveAll(f.folders[i]); err != nil {
			t.Fatal(err)
		}
		f.start(i, false)
		eventually(t, func() bool {
			r := f.nodes[i].host.current.Load()
			return r != nil && r.Status().Config.Voter(r.ID()) && len(r.Status().Config.Members()) == 4
		})
		if after, _, _ := f.nodes[i].host.identity(); after == before {
			t.Errorf("process %d rejoined as the same member after losing its disk", i)
		}
	}
	for i := range f.nodes {
		if got := f.read(i); got != 3 {
			t.Errorf("process %d reads version %d, want 3", i, got)
		}
	}
}

// The majority of the log is gone. The remaining member cannot know the newest
// configuration and must refuse the read instead of returning what it holds.
func TestReadWithoutMajorityIsRefused(t *testing.T) {
	f := startFleet(t, 3, 0)
	f.put(0, 1)
	f.stop(1)
	f.stop(2)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if state, err := f.nodes[0].Read(ctx); err == nil {
		t.Errorf("read without a majority returned version %d", state.Version)
	}
}

// A server announces to one entry that it leaves. When the announcement is acknowledged,
// the other entries must know of it: a request that one of them still sends would be cut
// off.
func TestLeaveIsAcknowledgedAfterAllEntriesKnow(t *testing.T) {
	f := startFleet(t, 1, 2)
	eventually(t, func() bool {
		for i := range f.nodes {
			if reached, _ := f.nodes[i].countReached(time.Now()); reached != 2 {
				return false
			}
		}
		return true
	})
	server := roster.Server{ID: "s", Born: 1, Sequence: 1, Service: "x", Address: "a:1"}
	if err := f.nodes[0].Announce(context.Background(), server); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool { return f.nodes[1].MayServe("s") && f.nodes[2].MayServe("s") })
	server.Sequence, server.Leaving = 2, true
	if err := f.nodes[1].Announce(context.Background(), server); err != nil {
		t.Fatal(err)
	}
	for i := range f.nodes {
		if f.nodes[i].MayServe("s") {
			t.Errorf("process %d still routes to a server that has left", i)
		}
	}
}

// With more processes than can all greet each other, updates travel through hubs. A
// server leaves at a process that is not a hub; all processes must soon learn of it, and
// must not forget a server of which they receive only heartbeats.
func TestUpdatesReachAllThroughHubs(t *testing.T) {
	const size = overlay.MaxHubs + 6
	f := startFleet(t, 3, size-3)
	spoke := -1
	eventually(t, func() bool {
		for i, n := range f.nodes {
			reached, known := n.countReached(time.Now())
			if reached != known || known == 0 || len(n.Known()) != size {
				return false
			}
			if known < overlay.MaxHubs-1 {
				spoke = i
			}
		}
		return spoke >= 0
	})
	server := roster.Server{ID: "s", Born: 1, Sequence: 1, Service: "x", Address: "a:1"}
	if err := f.nodes[spoke].Announce(context.Background(), server); err != nil {
		t.Fatal(err)
	}
	everywhere := func(cond func(*node) bool) func() bool {
		return func() bool {
			return !slices.ContainsFunc(f.nodes, func(n *node) bool { return !cond(n) })
		}
	}
	eventually(t, everywhere(func(n *node) bool { return n.MayServe("s") }))
	beat := roster.Heartbeat{ID: "s", Born: 1, Sequence: 1}
	n := f.nodes[spoke]
	eventually(t, func() bool {
		// One heartbeat may be lost while hubs are being chosen again; servers keep
		// sending them.
		beat.Sequence++
		n.mu.Lock()
		n.roster.ApplyHeartbeat(beat, time.Now())
		n.mu.Unlock()
		return everywhere(func(n *node) bool {
			e, known := n.Announced("s")
			return known && e.Sequence > 1
		})()
	})
	server.Sequence, server.Leaving = beat.Sequence, true
	eventually(t, func() bool {
		// An entry that greets few others in time, as on a busy machine, refuses it, and the server sends it again.
		server.Sequence++
		return n.Announce(context.Background(), server) == nil
	})
	eventually(t, everywhere(func(n *node) bool { return !n.MayServe("s") }))
}

// A peer that has lost its roster receives only a heartbeat of a server. It must request
// the server's announcement, or it sends the server no work.
func TestUnknownServerInHeartbeatIsRequested(t *testing.T) {
	f := startFleet(t, 1, 1)
	eventually(t, func() bool {
		reached, _ := f.nodes[0].countReached(time.Now())
		return reached == 1
	})
	server := roster.Server{ID: "s", Born: 1, Sequence: 1, Service: "x", Address: "a:1"}
	if err := f.nodes[0].Announce(context.Background(), server); err != nil {
		t.Fatal(err)
	}
	other := f.nodes[1]
	eventually(t, func() bool { return other.MayServe("s") })
	other.mu.Lock()
	other.roster = roster.New()
	other.mu.Unlock()
	eventually(t, func() bool {
		server.Sequence++
		if err := f.nodes[0].Announce(context.Background(), server); err != nil {
			t.Fatal(err)
		}
		return other.MayServe("s")
	})
}

// A process is cut off from all others for minutes. It must remember which peers to greet
// when the partition heals.
func TestIsolatedProcessKeepsPeers(t *testing.T) {
	m := New(Options{Self: Process{Address: "a", Entry: true}}, NewDocuments(decode, zap.NewNop()), zap.NewNop())
	m.ctx = t.Context()
	now := time.Now()
	for address, silent := range map[string]time.Duration{"b": 3 * forgetTimeout, "c": 3*forgetTimeout + time.Second, "d": 5 * forgetTimeout} {
		m.peers[address] = &peer{mesh: m, lastHeardAny: now.Add(-silent), wakeup: make(chan struct{}, 1)}
	}
	m.forgetSilent()
	if m.peers["b"] == nil || m.peers["c"] == nil || m.peers["d"] != nil {
		t.Errorf("peers = %v, want b and c without d", m.peers)
	}
}

// An entry that reaches none of the others cannot notify them that a server leaves. It
// must not acknowledge the announcement, so that the server tries another entry.
func TestPartitionedEntryRefusesAnnouncement(t *testing.T) {
	f := startFleet(t, 1, 2)
	eventually(t, func() bool {
		reached, _ := f.nodes[0].countReached(time.Now())
		return reached == 2
	})
	f.stop(1)
	f.stop(2)
	eventually(t, func() bool { return !f.nodes[0].Connected() })
	server := roster.Server{ID: "s", Born: 1, Sequence: 1, Service: "x", Address: "a:1", Leaving: true}
	if err := f.nodes[0].Announce(context.Background(), server); err == nil {
		t.Error("a partitioned entry acknowledged an announcement")
	}
}

func TestConfigNeverGoesBack(t *testing.T) {
	d := NewDocuments(decode, zap.NewNop())
	d.Apply(document.State{Index: 5, Version: 2, Body: []byte(`{"Version":2}`)}, "test")
	d.Apply(document.State{Index: 4, Version: 1, Body: []byte(`{"Version":1}`)}, "test")
	if got := d.Current(); got.State.Version != 2 || got.Table.Version() != 2 {
		t.Errorf("configuration version in force = %d, want 2", got.State.Version)
	}
	// A newer state of the same version comes without its body.
	d.Apply(document.State{Index: 6, Version: 2, Adapters: map[string]int64{"m/a": 3}}, "test")
	if got := d.Current(); got.State.Adapters["m/a"] != 3 || got.Table.Version() != 2 || got.State.Body == nil {
		t.Errorf("configuration in force = %+v, want version 2 with its body and version 3 of the adapter", got.State)
	}
}

// Adapters are named before the first configuration, and its version is 0. Processes
// without a log must receive it too.
func TestVersionZeroConfigReachesAll(t *testing.T) {
	f := startFleet(t, 1, 1)
	eventually(t, func() bool {
		return f.nodes[0].Propose(t.Context(), document.Command{AdapterVersion: &document.AdapterVersion{Adapter: "m/a", Version: 3}}) == nil
	})
	eventually(t, func() bool { return f.nodes[1].Documents().Current().State.Adapters["m/a"] == 3 })
	f.put(0, 0)
	eventually(t, func() bool {
		return f.nodes[0].Documents().Current().State.Index == f.nodes[1].Documents().Current().State.Index
	})
	for i := range f.nodes {
		if config := f.nodes[i].Documents().Current(); config.Table == nil || config.State.Body == nil {
			t.Errorf("process %d holds %+v, want a table and a body", i, config.State)
		}
	}
}

// Many engines start empty at once. The store must not get more loads than it allows,
// also when the leader changes in between.
func TestLoadPermitsRespectStoreRate(t *testing.T) {
	now := time.Unix(1000, 0)
	granted := 0
	first := &permits{}
	for i := range 100 {
		if first.grant("s", 2, now.Add(time.Duration(i)*50*time.Millisecond)) {
			granted++
		}
	}
	second := &permits{}
	for i := range 100 {
		if second.grant("s", 2, now.Add(5*time.Second+time.Duration(i)*50*time.Millisecond)) {
			granted++
		}
	}
	if granted < 17 || granted > 20 {
		t.Errorf("%d loads were granted in 10 s at 2 per second, want 17 to 20", granted)
	}
}

// All engines of a service with two models start empty, one after the other. Both models
// must be loaded roughly in proportion to demand, and a copy on an engine's own disk must
// not use up a permit for the store.
func TestEmptyEnginesLoadByDemand(t *testing.T) {
	m := New(Options{Self: Process{Address: "a", Entry: true}}, NewDocuments(decode, zap.NewNop()), zap.NewNop())
	service := &route.Service{Name: "s", Engine: &route.Engine{
		LoadsPerSecond: 2, Models: []route.Model{{Name: "busy", LoadTime: 5 * time.Second}, {Name: "rare", LoadTime: 5 * time.Second}},
	}}
	for i := range 40 {
		m.RecordDemand([]string{"busy", "busy", "busy", "rare"}[i%4])
	}
	p := newPermits(m)
	p.leading, p.limiters = true, make(map[string]*rate.Limiter)
	now := time.Unix(1000, 0)
	if got := p.choose(service, nil, now); got != "" {
		t.Errorf("a new leader granted %q immediately; the previous one may have just used the burst", got)
	}
	loads := make(map[string]int)
	for i := range 8 {
		loads[p.choose(service, nil, now.Add(time.Duration(i+1)*500*time.Millisecond))]++
	}
	if loads["busy"] != 6 || loads["rare"] != 2 {
		t.Errorf("loads = %v, want 6 of the busy model and 2 of the rare one", loads)
	}
	later := now.Add(4 * time.Second)
	if got := p.choose(service, []string{"busy", "rare"}, later); got == "" {
		t.Error("no permit for an engine with local copies, which needs no load from the store")
	}
	first, second := p.choose(service, nil, later), p.choose(service, nil, later)
	if third := p.choose(service, nil, later); first != "" && second != "" && third != "" {
		t.Error("three loads from the store were granted at once, want at most 2")
	}
}

// A server crashes while running a request at one entry; the caller's retry arrives at
// another one, which must know of the crash.
func TestStrikesReachAllEntries(t *testing.T) {
	f := startFleet(t, 1, 1)
	eventually(t, func() bool {
		first, _ := f.nodes[0].countReached(time.Now())
		second, _ := f.nodes[1].countReached(time.Now())
		return first == 1 && second == 1
	})
	for i, server := range []string{"a", "b", "c"} {
		f.nodes[i%2].Strike(suspicion.Strike{Fingerprint: 9, Server: server})
	}
	eventually(t, func() bool { return f.nodes[0].Refused(9) && f.nodes[1].Refused(9) })
}

// Guards against a request that one entry has seen answered and others refuse for the servers that ended around it.
func TestAnswerReachesAllEntries(t *testing.T) {
	f := startFleet(t, 1, 1)
	strikes := func(n *node) int {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.strikes.Of(9))
	}
	eventually(t, func() bool {
		first, _ := f.nodes[0].countReached(time.Now())
		second, _ := f.nodes[1].countReached(time.Now())
		return first == 1 && second == 1
	})
	for _, server := range []string{"a", "b", "c"} {
		f.nodes[0].Strike(suspicion.Strike{Fingerprint: 9, Server: server})
	}
	eventually(t, func() bool { return strikes(f.nodes[0]) == 3 && strikes(f.nodes[1]) == 3 })
	f.nodes[1].Answered(9)
	eventually(t, func() bool { return !f.nodes[0].Refused(9) && !f.nodes[1].Refused(9) })
	f.nodes[1].Strike(suspicion.Strike{Fingerprint: 9, Server: "d"})
	eventually(t, func() bool { return strikes(f.nodes[0]) == 1 && strikes(f.nodes[1]) == 1 })
}

// Guards against a request that waits for trials at some entries, because only another one heard the server that was taken for silent.
func TestHeardServerEndsDoubtsEverywhere(t *testing.T) {
	const fingerprint = 9
	f := startFleet(t, 1, 1)
	eventually(t, func() bool {
		first, _ := f.nodes[0].countReached(time.Now())
		second, _ := f.nodes[1].countReached(time.Now())
		return first == 1 && second == 1
	})
	servers := []roster.Server{{ID: "a", Sequence: 1, Address: "a:1"}, {ID: "b", Sequence: 1, Address: "b:1"}, {ID: "c", Sequence: 1, Address: "c:1"}}
	for _, server := range servers {
		f.nodes[0].Strike(suspicion.Strike{Fingerprint: fingerprint, Server: server.ID, Silent: true, AgeMillis: 1000})
	}
	request := suspicion.Request{Fingerprint: fingerprint}
	verdicts := func(want suspicion.Verdict) func() bool {
		return func() bool {
			return f.nodes[0].Decide(request, 0).Verdict == want && f.nodes[1].Decide(request, 0).Verdict == want
		}
	}
	eventually(t, verdicts(suspicion.RunAlone))
	if len(f.nodes[1].BeginTrials(request, 0)) != 1 {
		t.Fatal("no trial begins")
	}
	eventually(t, verdicts(suspicion.Wait))
	if err := f.nodes[1].Announce(t.Context(), servers[2]); err != nil {
		t.Fatal(err)
	}
	eventually(t, verdicts(suspicion.Run))
}

// Guards against doubts that an entry brings forward long after another one has heard the server or answered the request.
func TestDoubtIsRefutedByWhatIsKnown(t *testing.T) {
	f := startFleet(t, 1, 0)
	m := f.nodes[0]
	if err := m.Announce(t.Context(), roster.Server{ID: "a", Sequence: 1, Address: "a:1"}); err != nil {
		t.Fatal(err)
	}
	m.Answered(2)
	m.Strike(suspicion.Strike{Fingerprint: 1, Server: "a", Silent: true, AgeMillis: 5000})
	m.Strike(suspicion.Strike{Fingerprint: 2, Server: "b", Silent: true, AgeMillis: 5000})
	m.Strike(suspicion.Strike{Fingerprint: 3, Server: "b", Silent: true, AgeMillis: 5000})
	m.mu.Lock()
	defer m.mu.Unlock()
	for fingerprint, want := range map[uint64]bool{1: false, 2: false, 3: true} {
		if got := m.strikes.Suspected(fingerprint); got != want {
			t.Errorf("request %d is doubted: %t", fingerprint, got)
		}
	}
}

// Guards against an entry that sends on what has crashed three servers, because it started or was back only after the others had heard.
func TestEntryThatStartsLaterKnowsOfCrashes(t *testing.T) {
	const fingerprint = 9
	for name, restarts := range map[string]bool{"its first start": false, "a restart": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 2)
			running := 2
			if restarts {
				running = 3
			}
			for i := range running {
				f.start(i, true)
			}
			eventually(t, func() bool {
				reached, _ := f.nodes[0].countReached(time.Now())
				return reached == running-1
			})
			for _, server := range []string{"a", "b", "c"} {
				f.nodes[0].Strike(suspicion.Strike{Fingerprint: fingerprint, Server: server})
			}
			eventually(t, func() bool {
				return !slices.ContainsFunc(f.nodes[:running], func(n *node) bool { return !n.Refused(fingerprint) })
			})
			f.stop(2)
			f.start(2, false)
			eventually(t, f.nodes[2].Informed)
			if !f.nodes[2].Refused(fingerprint) {
				t.Error("the entry may serve, and does not refuse the request")
			}
		})
	}
}

// Guards against requests that are blamed for the end of servers that were only cut off for long.
func TestSilentServerHasNotEnded(t *testing.T) {
	m := New(Options{Self: Process{Address: "127.0.0.1:1", Entry: true}}, NewDocuments(nil, zap.NewNop()), zap.NewNop())
	if err := m.Announce(t.Context(), roster.Server{ID: "a", Born: 1, Sequence: 1, Service: "s", Address: "a:1"}); err != nil {
		t.Fatal(err)
	}
	m.mu.Lock()
	m.roster.Expire(time.Now().Add(time.Hour), time.Now().Add(time.Hour))
	m.mu.Unlock()
	if got := m.Ended("a", 1); got != "" {
		t.Errorf("the server counts as ended: %s", got)
	}
}
