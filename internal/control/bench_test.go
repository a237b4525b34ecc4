package control_test

import (
	"context"
	"fmt"
	"math"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/control"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// cpuTime returns the CPU time of this process, which runs both ends of the connections.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func announceAll(b *testing.B, c *control.Control, servers, round int) {
	handler := c.Handlers()[wire.MethodAnnounce]
	for i := range servers {
		if _, err := handler(context.Background(), mustJSON(b, wire.Announce{Announcement: engine(i, round)})); err != nil {
			b.Fatal(err)
		}
	}
}

// engine returns the announcement of a server with eight resident adapters, one of
// which changes every ten rounds.
func engine(i, round int) membership.Announcement {
	a := membership.Announcement{
		Server: fmt.Sprintf("dabke-llm-%03d", i), Kind: membership.KindEngine, Pool: "dabke-llm", DataCentre: fmt.Sprint("amman-", i%8),
		Address: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250), Agent: true, BaseModel: "dabke-base", Slots: 8,
		Incarnation: 1_796_000_000_000_000_000 + uint64(i), Sequence: uint64(round + 1),
	}
	a.Load = membership.Load{Running: (i*7 + round*13) % 60, Waiting: (i + round) % 5, Capacity: 64}
	a.Load.Obtainable, a.Load.LoadMillis = (i+round)%9, 250+(i*31+round*17)%400
	a.Load.VictimUse = math.Mod(float64(i)*1.37+float64(round)*0.71, 20)
	for slot := range 8 {
		number := i*8 + slot
		if slot == 0 {
			number += (round + i) / 10 * 4801
		}
		a.Load.Resident = append(a.Load.Resident, catalogue.Ref{Adapter: fmt.Sprintf("rehearsal-plan-%06d", number%130_000), Version: "1"})
	}
	return a
}

// BenchmarkInForce measures the time from the proposal of a change until it is in
// force at every daemon, with the bytes and the CPU time of both ends.
func BenchmarkInForce(b *testing.B) {
	for _, daemons := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("daemons=", daemons), func(b *testing.B) {
			var bytes atomic.Int64
			c := newCluster(b, 1, control.Options{}, &bytes)
			followers := make([]*follow.Follower, daemons)
			for i := range followers {
				followers[i] = c.follow(fmt.Sprint("entry-", i), c.peers...)
			}
			last := c.propose(0, putContract(0, 1)).Index
			awaitAll(followers, last)
			bytes.Store(0)
			cpu, changes := cpuTime(), 0
			for b.Loop() {
				// The pause exceeds the batch interval, so that each change is
				// published immediately. BenchmarkBurst measures batches.
				b.StopTimer()
				time.Sleep(60 * time.Millisecond)
				b.StartTimer()
				changes++
				last = c.propose(0, putContract(last, float64(changes+1))).Index
				awaitAll(followers, last)
			}
			perDaemon := float64(changes * daemons)
			b.ReportMetric(float64(bytes.Load())/perDaemon, "B/daemon/change")
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/perDaemon, "cpu-µs/daemon/change")
		})
	}
}

func awaitAll(followers []*follow.Follower, index uint64) {
	for _, f := range followers {
		for f.Config().Index() < index {
			time.Sleep(50 * time.Microsecond)
		}
	}
}

// BenchmarkBurst measures an import: many changes, proposed as fast as they are
// accepted, until all are in force at every daemon.
func BenchmarkBurst(b *testing.B) {
	const daemons, changes = 20, 5_000
	var bytes atomic.Int64
	c := newCluster(b, 1, control.Options{}, &bytes)
	c.propose(0, putModel)
	followers := make([]*follow.Follower, daemons)
	for i := range followers {
		followers[i] = c.follow(fmt.Sprint("entry-", i), c.peers...)
	}
	awaitAll(followers, 1)
	next := 0
	for b.Loop() {
		bytes.Store(0)
		cpu := cpuTime()
		var last uint64
		for range changes {
			last = c.propose(0, putAdapter(next)).Index
			next++
			time.Sleep(100 * time.Microsecond)
		}
		awaitAll(followers, last)
		b.ReportMetric(float64(bytes.Load())/daemons/changes, "B/daemon/change")
		b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/daemons/changes, "cpu-µs/daemon/change")
	}
}

// BenchmarkAtRest measures the cost of daemons while the configuration does not change
// and the load of every server changes once a second.
func BenchmarkAtRest(b *testing.B) {
	const daemons, rounds = 20, 5
	for _, servers := range []int{0, 22, 600} {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			var bytes atomic.Int64
			c := newCluster(b, 1, control.Options{ServerLease: time.Minute}, &bytes)
			announceAll(b, c.members[0].control, servers, 0)
			last := c.propose(0, putContract(0, 1)).Index
			followers := make([]*follow.Follower, daemons)
			for i := range followers {
				followers[i] = c.follow(fmt.Sprint("entry-", i), c.peers...)
			}
			awaitAll(followers, last)
			for b.Loop() {
				bytes.Store(0)
				cpu, started := cpuTime(), time.Now()
				var announceTime time.Duration
				for round := range rounds {
					before := cpuTime()
					announceAll(b, c.members[0].control, servers, round+1)
					announceTime += cpuTime() - before
					time.Sleep(time.Second)
				}
				seconds := time.Since(started).Seconds() * daemons
				b.ReportMetric(float64(bytes.Load())/seconds, "B/s/daemon")
				b.ReportMetric(float64((cpuTime()-cpu-announceTime).Microseconds())/seconds, "cpu-µs/s/daemon")
			}
		})
	}
}

// BenchmarkDirectoryDelta measures packing and applying the delta after every load
// has changed, and the whole directory.
func BenchmarkDirectoryDelta(b *testing.B) {
	now := time.Unix(1_000, 0)
	for _, servers := range []int{22, 600} {
		directory := membership.NewDirectory(membership.Options{Lease: time.Minute}, 1, now)
		announce := func(round int) {
			for i := range servers {
				_ = directory.Announce(engine(i, round), now)
			}
			directory.Publish(now)
		}
		announce(0)
		whole := directory.Delta(0, 0, now)
		before := directory.Version()
		announce(1)
		loads := directory.Delta(1, before, now)
		for name, delta := range map[string]membership.Delta{"whole": whole, "loads": loads} {
			b.Run(fmt.Sprintf("%s/servers=%d/pack", name, servers), func(b *testing.B) {
				var data []byte
				for b.Loop() {
					data, _ = wire.Pack(delta)
				}
				b.ReportMetric(float64(len(data)), "B")
			})
			b.Run(fmt.Sprintf("%s/servers=%d/apply", name, servers), func(b *testing.B) {
				data, _ := wire.Pack(delta)
				for b.Loop() {
					view := membership.NewView()
					view.Apply(whole, now)
					var got membership.Delta
					if err := wire.Unpack(data, &got); err != nil {
						b.Fatal(err)
					}
					view.Apply(got, now)
					view.Servers()
				}
			})
		}
	}
}

// BenchmarkAnnounce measures one announcement, in the control instance's handler and
// over a connection with the CPU time of both ends.
func BenchmarkAnnounce(b *testing.B) {
	var bytes atomic.Int64
	c := newCluster(b, 1, control.Options{ServerLease: time.Minute}, &bytes)
	announceAll(b, c.members[0].control, 600, 0)
	round := 0
	b.Run("handler", func(b *testing.B) {
		handler := c.members[0].control.Handlers()[wire.MethodAnnounce]
		for b.Loop() {
			round++
			if _, err := handler(context.Background(), mustJSON(b, wire.Announce{Announcement: engine(7, round)})); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("connection", func(b *testing.B) {
		client := rpc.NewClient(c.peers[0])
		defer client.Close()
		bytes.Store(0)
		cpu, calls := cpuTime(), 0
		for b.Loop() {
			round++
			calls++
			var reply wire.AnnounceReply
			if err := client.Call(context.Background(), wire.MethodAnnounce, wire.Announce{Announcement: engine(7, round)}, &reply); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(bytes.Load())/float64(calls), "B/announcement")
		b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(calls), "cpu-µs/announcement")
	})
}

// seededControl returns a cluster of one control instance with the given number of
// adapters.
func seededControl(b *testing.B, adapters int) *cluster {
	c := newCluster(b, 1, control.Options{})
	c.propose(0, putModel)
	for i := range adapters {
		c.propose(0, putAdapter(i))
	}
	return c
}

// readSnapshot reads all pages of a snapshot into config and returns their total size
// in bytes and their number.
func readSnapshot(b *testing.B, c *cluster, config *follow.Config) (bytes, pages int) {
	in := wire.Watch{Daemon: "d"}
	for config.Index() == 0 {
		page := watch(b, c.members[0].control, in).Snapshot
		var changes []state.Change
		if err := wire.Unpack(page.Changes, &changes); err != nil {
			b.Fatal(err)
		}
		config.Merge(changes)
		bytes, pages = bytes+len(page.Changes), pages+1
		in.SnapshotIndex, in.SnapshotPage = page.Index, page.Page+1
		if page.Last {
			config.Apply(nil, page.Index)
		}
	}
	return bytes, pages
}

// BenchmarkSnapshot measures a daemon's initial copy: the size of the pages, the time
// to build and read them (first reader) and the time to read them again.
func BenchmarkSnapshot(b *testing.B) {
	for _, adapters := range []int{3_000, 130_000} {
		b.Run(fmt.Sprint("adapters=", adapters), func(b *testing.B) {
			c := seededControl(b, adapters)
			started := time.Now()
			bytes, pages := readSnapshot(b, c, follow.NewConfig())
			first := time.Since(started)
			for b.Loop() {
				readSnapshot(b, c, follow.NewConfig())
			}
			b.ReportMetric(float64(bytes), "B")
			b.ReportMetric(float64(pages), "pages")
			b.ReportMetric(float64(first.Milliseconds()), "first-ms")
		})
	}
}

// heapOf returns the live heap that the value returned by build occupies, in bytes.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkMemory measures the live heap per object in an entry's copy and in a
// control instance's state.
func BenchmarkMemory(b *testing.B) {
	report := func(name string, count int, build func() any) {
		b.Run(fmt.Sprintf("%s=%d", name, count), func(b *testing.B) {
			for b.Loop() {
				total := heapOf(build)
				b.ReportMetric(total/float64(count), "B/object")
				b.ReportMetric(total/(1<<20), "MiB")
			}
		})
	}
	for _, adapters := range []int{3_000, 130_000} {
		report("entry/adapters", adapters, func() any {
			config := follow.NewConfig()
			for i := range adapters {
				config.Merge([]state.Change{{Adapter: putAdapter(i).PutAdapter}})
			}
			return config
		})
		report("control/adapters", adapters, func() any {
			machine := state.NewMachine()
			machine.Apply(1, putModel)
			for i := range adapters {
				machine.Apply(uint64(i+2), putAdapter(i))
			}
			return machine
		})
	}
	const contracts = 2_000
	report("entry/contracts", contracts, func() any {
		config := follow.NewConfig()
		for i := range contracts {
			next := customer(i)
			next.Revision = 1
			config.Merge([]state.Change{{Contract: &next}})
		}
		return config
	})
	report("control/contracts", contracts, func() any {
		machine := state.NewMachine()
		for i := range contracts {
			machine.Apply(uint64(i+1), state.Command{PutContract: &state.PutContract{Contract: customer(i)}, OperationID: fmt.Sprintf("operation-%036d", i)})
		}
		return machine
	})
	const servers = 600
	now := time.Unix(1_000, 0)
	report("entry/servers", servers, func() any {
		view := membership.NewView()
		for i := range servers {
			view.Apply(membership.Delta{Epoch: 1, Version: uint64(i + 1), Whole: i == 0, Joined: []membership.Joined{{ID: uint32(i), Announcement: engine(i, 0)}}}, now)
		}
		return []any{view, view.Servers()}
	})
	report("control/servers", servers, func() any {
		directory := membership.NewDirectory(membership.Options{Lease: time.Minute}, 1, now)
		for i := range servers {
			_ = directory.Announce(engine(i, 0), now)
		}
		return directory
	})
}

// customer returns a contract with two keys and a few clauses.
func customer(i int) contract.Contract {
	return contract.Contract{
		ID:        fmt.Sprintf("customer-%05d", i),
		KeyHashes: []string{follow.HashKey(fmt.Sprint("a", i)), follow.HashKey(fmt.Sprint("b", i))},
		Adapters:  []string{"rehearsal-plan-*", "costume-advice-*"},
		Services:  []string{"booking-desk"},
		Limits:    contract.Limits{RequestsPerSecond: 5, TokensPerMinute: 1000, Concurrency: 4, MaxWait: time.Second},
		Share:     1,
	}
}
