package replica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rosemarypass/rosemarypass/coord/replog"
	"github.com/rosemarypass/rosemarypass/internal/replica"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// commandBytes is the approximate size of a contract change.
const commandBytes = 300

func cpuTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkPropose measures commits on three instances in this process, over
// loopback and with real syncs.
func BenchmarkPropose(b *testing.B) {
	for _, group := range []int{1, 256} {
		for _, clients := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("group=%d/clients=%d", group, clients), func(b *testing.B) {
				c := newCluster(b, 3, replica.Options{MaxGroup: group})
				benchmarkPropose(b, c, c.leader(), clients)
			})
		}
	}
}

// BenchmarkClusterSize measures commits for different numbers of instances.
func BenchmarkClusterSize(b *testing.B) {
	for _, size := range []int{1, 3, 5, 9} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			c := newCluster(b, size, replica.Options{})
			benchmarkPropose(b, c, c.leader(), 16)
		})
	}
}

// BenchmarkForward measures commits through a follower.
func BenchmarkForward(b *testing.B) {
	for _, clients := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) {
			c := newCluster(b, 3, replica.Options{})
			benchmarkPropose(b, c, (c.leader()+1)%3, clients)
		})
	}
}

func benchmarkPropose(b *testing.B, c *cluster, at, clients int) {
	proposer := c.instances[at]
	c.propose(0, "ready")
	syncs, calls := telemetry.Counter("replica_syncs"), telemetry.Counter("replica_calls_sent")
	syncsBefore, callsBefore, cpuBefore := syncs.Value(), calls.Value(), cpuTime()
	work := make(chan struct{})
	latencies := make([][]time.Duration, clients)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			data := make([]byte, commandBytes)
			for range work {
				start := time.Now()
				if _, _, err := proposer.Propose(context.Background(), data); err != nil {
					b.Error(err)
				}
				latencies[i] = append(latencies[i], time.Since(start))
			}
		})
	}
	b.ResetTimer()
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	wg.Wait()
	b.StopTimer()
	all := slices.Concat(latencies...)
	slices.Sort(all)
	n := float64(b.N)
	b.ReportMetric(n/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(syncs.Value()-syncsBefore)/n, "syncs/commit")
	b.ReportMetric(float64(calls.Value()-callsBefore)/n, "calls/commit")
	b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/n, "cpu-µs/commit")
}

// BenchmarkIdle measures the calls and CPU time of idle instances in one process.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []int{3, 9} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) { benchmarkIdle(b, size) })
	}
}

func benchmarkIdle(b *testing.B, size int) {
	c := newCluster(b, size, replica.Options{})
	c.propose(0, "ready")
	calls := telemetry.Counter("replica_calls_sent")
	const duration = 5 * time.Second
	for b.Loop() {
		callsBefore, cpuBefore := calls.Value(), cpuTime()
		time.Sleep(duration)
		b.ReportMetric(float64(calls.Value()-callsBefore)/duration.Seconds(), "calls/s")
		b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/duration.Seconds()/float64(size), "cpu-µs/s/instance")
	}
}

// BenchmarkMessage measures encoding and decoding messages in their wire format.
func BenchmarkMessage(b *testing.B) {
	id := replog.ID("control-amman-a.3b947a69e62e")
	entry := replog.Entry{Index: 123456, Term: 12, Data: make([]byte, commandBytes)}
	message := replog.Message{From: id, To: id, Term: 12, Index: 123456, LogTerm: 12, Commit: 123456}
	heartbeat, reply, single, many := message, message, message, message
	heartbeat.Kind, heartbeat.Read, heartbeat.Sent = replog.KindHeartbeat, 100, 100000
	reply.Kind, reply.Read, reply.Sent = replog.KindHeartbeatReply, 100, 100000
	single.Kind, single.Entries = replog.KindAppend, []replog.Entry{entry}
	many.Kind, many.Entries = replog.KindAppend, slices.Repeat([]replog.Entry{entry}, 100)
	cases := []struct {
		name    string
		message replog.Message
	}{{"heartbeat", heartbeat}, {"reply", reply}, {"append-1", single}, {"append-100", many}}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			envelope := wire.Envelope{Cluster: "f67110d1-b6db-4e30-9ac7-6e06f511b018", Address: "10.0.1.11:7201", Messages: []replog.Message{c.message}}
			size := 0
			for b.Loop() {
				data, err := json.Marshal(envelope)
				if err != nil {
					b.Fatal(err)
				}
				var back wire.Envelope
				if err := json.Unmarshal(data, &back); err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
