package replica_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/replica"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wal"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// journal is a state machine that remembers every command.
type journal struct {
	mu    sync.Mutex
	lines []string
}

func (j *journal) Apply(_ uint64, data []byte) []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, string(data))
	return fmt.Append(nil, len(j.lines))
}

func (j *journal) Snapshot() ([]byte, error) { return []byte(j.text()), nil }

func (j *journal) Restore(data []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = strings.Split(string(data), "\n")
	return nil
}

func (j *journal) text() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return strings.Join(j.lines, "\n")
}

// failingFS is the system's file system until its disk breaks.
type failingFS struct {
	wal.OS
	broken *atomic.Bool
}

func (fs failingFS) Create(path string) (wal.File, error) { return fs.wrap(fs.OS.Create(path)) }
func (fs failingFS) Append(path string) (wal.File, error) { return fs.wrap(fs.OS.Append(path)) }

func (fs failingFS) wrap(file wal.File, err error) (wal.File, error) {
	return failingFile{file, fs.broken}, err
}

type failingFile struct {
	wal.File
	broken *atomic.Bool
}

func (f failingFile) Write(data []byte) (int, error) {
	if f.broken.Load() {
		return 0, unix.ENOSPC
	}
	return f.File.Write(data)
}

// instance is one control instance on loopback.
type instance struct {
	*replica.Replica
	journal *journal
	broken  atomic.Bool
	address string
	stop    func()
}

type cluster struct {
	t         testing.TB
	options   replica.Options
	folders   []string
	addresses []string
	instances []*instance
}

func newCluster(t testing.TB, size int, options replica.Options) *cluster {
	t.Helper()
	c := &cluster{t: t, options: options, instances: make([]*instance, size)}
	for range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c.addresses = append(c.addresses, listener.Addr().String())
		c.folders = append(c.folders, t.TempDir())
		_ = listener.Close()
	}
	for i := range size {
		c.start(i)
	}
	t.Cleanup(func() {
		for _, one := range c.instances {
			one.stop()
		}
	})
	return c
}

// start starts an instance on its folder.
func (c *cluster) start(i int) {
	c.t.Helper()
	one := &instance{journal: &journal{}, address: c.addresses[i]}
	options := c.options
	options.Instance = fmt.Sprintf("control-%d", i)
	options.Address, options.Peers = c.addresses[i], c.addresses
	options.Bootstrap = i == 0
	options.Folder = c.folders[i]
	options.FS = failingFS{broken: &one.broken}
	var err error
	if one.Replica, err = replica.Open(options, one.journal, zap.NewNop()); err != nil {
		c.t.Fatal(err)
	}
	listener, err := net.Listen("tcp", one.address)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := rpc.NewServer(one.Handlers())
	var duties sync.WaitGroup
	duties.Go(func() { _ = server.Serve(ctx, listener) })
	duties.Go(func() { one.Run(ctx) })
	one.stop = sync.OnceFunc(func() {
		cancel()
		_ = listener.Close()
		server.Close()
		duties.Wait()
	})
	c.instances[i] = one
}

func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("waited in vain for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *cluster) leader() int {
	c.t.Helper()
	found := -1
	c.await("a leader", func() bool {
		for i, one := range c.instances {
			if one.Status().Role == replog.Leader {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

func (c *cluster) propose(i int, command string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if _, _, err := c.instances[i].Propose(ctx, []byte(command)); err != nil {
		c.t.Fatalf("%.20s at %d: %v", command, i, err)
	}
}

func (c *cluster) expect(i int, text string) {
	c.t.Helper()
	c.await(fmt.Sprintf("instance %d to have %.200q", i, text), func() bool { return c.instances[i].journal.text() == text })
}

func (c *cluster) change(action wire.MemberAction, member string) {
	c.t.Helper()
	var err error
	c.await(fmt.Sprint(action, " ", member), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		err = c.instances[c.leader()].ChangeMembers(ctx, wire.MemberChange{Action: action, Member: member})
		return err == nil
	})
}

var fast = replica.Options{TickInterval: 5 * time.Millisecond, SnapshotEntries: 5}

// A control instance loses its disk and comes back empty; after the repair a
// second one is lost. Operators must not lose an accepted change, and see when
// the second loss is survivable.
func TestLostDiskIsReplacedAndASecondLossSurvived(t *testing.T) {
	c := newCluster(t, 3, fast)
	want := ""
	for i := range 12 {
		command := fmt.Sprint("command ", i)
		c.propose(i%3, command)
		want = strings.TrimPrefix(want+"\n"+command, "\n")
	}
	for i := range 3 {
		c.expect(i, want)
	}

	lost := (c.leader() + 1) % 3
	old := c.instances[lost].ID()
	c.instances[lost].stop()
	c.folders[lost] = t.TempDir()
	c.start(lost)
	replacement := c.instances[lost].ID()
	if replacement == old {
		t.Fatal("the lost disk came back under its old identity")
	}
	c.await("the replacement in the list", func() bool {
		list := c.instances[lost].Members(context.Background())
		return len(list.Members) == 4 && list.Members[3].Role == wire.RoleWaiting && list.Leader != ""
	})
	c.change(wire.MemberAdd, string(replacement))
	c.change(wire.MemberRemove, string(old))
	c.change(wire.MemberPromote, string(replacement))
	c.await("redundancy", func() bool { return c.instances[c.leader()].Members(context.Background()).Survivable == 1 })
	c.expect(lost, want)

	second := c.leader()
	c.instances[second].stop()
	survivor := (second + 1) % 3
	c.await("another leader", func() bool {
		leader := c.instances[survivor].Status().Leader
		return leader != "" && leader != c.instances[second].ID()
	})
	c.propose(survivor, "after the second loss")
	for i := range 3 {
		if i != second {
			c.expect(i, want+"\nafter the second loss")
		}
	}
}

// The instance that founded the log loses its disk while the others are down,
// and its settings still let it found one. A second, empty log would hand every
// daemon an empty configuration.
func TestLostDiskOfTheFounderFoundsNoSecondLog(t *testing.T) {
	c := newCluster(t, 3, fast)
	c.propose(0, "accepted")
	c.await("all to have it", func() bool {
		return c.instances[1].journal.text() == "accepted" && c.instances[2].journal.text() == "accepted"
	})
	for _, one := range c.instances {
		one.stop()
	}
	c.folders[0] = t.TempDir()
	c.start(0)
	c.start(1)
	c.await("the founder to be seen waiting", func() bool {
		return slices.ContainsFunc(c.instances[1].Members(context.Background()).Members, func(m wire.Member) bool {
			return m.ID == c.instances[0].ID() && m.Role == wire.RoleWaiting
		})
	})
	if cluster := c.instances[0].Status().Config.Cluster; cluster != "" {
		t.Fatal("the founder has founded a second log")
	}
	c.start(2)
	c.propose(1, "more")
	if cluster := c.instances[0].Status().Config.Cluster; cluster != "" {
		t.Fatal("the founder has founded a second log")
	}
	c.expect(2, "accepted\nmore")
}

// All control instances lose power. Every accepted change is there again.
func TestRestartKeepsEveryAcceptedChange(t *testing.T) {
	c := newCluster(t, 3, fast)
	for i := range 7 {
		c.propose(0, fmt.Sprint(i))
	}
	for _, one := range c.instances {
		one.stop()
	}
	for i := range c.instances {
		c.start(i)
	}
	c.propose(1, "more")
	for i := range c.instances {
		c.expect(i, "0\n1\n2\n3\n4\n5\n6\nmore")
	}
}

// The leader's disk is full. It must neither acknowledge nor lead any longer;
// operators see why, and the others go on.
func TestFullDiskStepsOut(t *testing.T) {
	c := newCluster(t, 3, fast)
	c.propose(0, "before")
	full := c.leader()
	c.instances[full].broken.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if _, _, err := c.instances[full].Propose(ctx, []byte("unlucky")); !errors.Is(err, replica.ErrUnknown) {
		t.Errorf("a command that met the full disk: %v", err)
	}
	c.await("the failure", func() bool { return c.instances[full].Failure() != "" })
	if _, _, err := c.instances[full].Propose(ctx, []byte("late")); !errors.Is(err, replica.ErrNotCommitted) {
		t.Errorf("a command after the failure: %v", err)
	}
	if _, err := c.instances[full].ReadIndex(ctx); err == nil {
		t.Error("a read was confirmed after the failure")
	}
	if failure := c.instances[full].Members(ctx).Failure; !strings.Contains(failure, "no space") {
		t.Errorf("operators see %q", failure)
	}
	c.propose((full+1)%3, "after")
}

// An instance is stopped as planned. The others must not go without a leader
// for an election timeout, so it hands over first.
func TestStopHandsTheLeadershipOver(t *testing.T) {
	slow := fast
	slow.ElectionTicks = 200
	c := newCluster(t, 3, slow)
	c.await("all caught up", func() bool { return c.instances[c.leader()].Status().Survivable == 1 })
	leader := c.leader()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c.instances[leader].Stop(ctx)
	if next := c.leader(); next == leader {
		t.Error("the leader still leads")
	}
}

// Reads through a member that lags must show what was accepted elsewhere.
func TestReadIndexSeesEarlierCommits(t *testing.T) {
	c := newCluster(t, 3, fast)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for i := range 10 {
		command := fmt.Sprint(i)
		c.propose(i%3, command)
		reader := c.instances[(i+1)%3]
		if _, err := reader.ReadIndex(ctx); err != nil {
			t.Fatal(err)
		}
		if text := reader.journal.text(); !strings.HasSuffix(text, command) {
			t.Fatalf("after %s was accepted, a read shows %q", command, text)
		}
	}
}

// The state has grown beyond what one message may carry. A replacement must
// still be able to catch up, or the redundancy could never be repaired.
func TestLargeSnapshotReachesAReplacement(t *testing.T) {
	c := newCluster(t, 3, replica.Options{TickInterval: 5 * time.Millisecond, SnapshotEntries: 2, PartBytes: 1 << 10})
	large := strings.Repeat("x", 100<<10)
	for _, one := range c.instances {
		one.journal.mu.Lock()
		one.journal.lines = []string{large}
		one.journal.mu.Unlock()
	}
	c.propose(0, "a")
	c.propose(0, "b")
	parts := telemetry.Counter("replica_snapshot_parts_sent")
	before := parts.Value()
	lost := (c.leader() + 1) % 3
	c.instances[lost].stop()
	c.folders[lost] = t.TempDir()
	c.start(lost)
	c.change(wire.MemberAdd, string(c.instances[lost].ID()))
	c.await("the whole state", func() bool { return c.instances[lost].Applied() >= c.instances[c.leader()].Applied() })
	if c.instances[lost].journal.text() != large+"\na\nb" {
		t.Error("the state differs")
	}
	if sent := parts.Value() - before; sent < 100 {
		t.Errorf("the snapshot went in %d parts", sent)
	}
}
