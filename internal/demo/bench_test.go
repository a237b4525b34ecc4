package demo_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/internal/demo"
	"github.com/rosemarypass/rosemarypass/internal/settings"
	"github.com/rosemarypass/rosemarypass/internal/standin/caller"
)

// BenchmarkDataPath compares direct calls of the stand-in engine with the same
// calls through entry and agent, in one process and one run. The difference
// between the two is the overhead of the system. cpu-µs/op is the CPU time of
// the whole process: client, roles and engine.
func BenchmarkDataPath(b *testing.B) {
	for _, secure := range []bool{false, true} {
		d := startForBenchmark(b, secure)
		warmUp(b, d)
		for _, tokens := range []int{1, 256} {
			for _, parallel := range []int{1, 32} {
				suffix := fmt.Sprintf("tls=%t/tokens=%d/callers=%d", secure, tokens, parallel)
				b.Run("direct/"+suffix, func(b *testing.B) { benchmarkCalls(b, "http://"+d.EngineAddress, tokens, parallel) })
				b.Run("through/"+suffix, func(b *testing.B) { benchmarkCalls(b, "http://"+d.Entry, tokens, parallel) })
			}
		}
	}
}

func startForBenchmark(b *testing.B, secure bool) *demo.Demo {
	var files *settings.PeerTLS
	if secure {
		files = issueCertificates(b)
	}
	d, err := demo.StartWith(demo.Options{
		TokenTime: time.Microsecond,
		LoadTime:  time.Millisecond,
		Slots:     len(demo.Adapters),
		Capacity:  1024,
		PeerTLS:   files,
		Limits: contract.Limits{
			RequestsPerSecond: 1_000_000,
			TokensPerMinute:   1_000_000_000_000,
			Concurrency:       10_000,
			MaxWait:           time.Minute,
		},
	}, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { d.Stop(b.Context()) })
	return d
}

func warmUp(b *testing.B, d *demo.Demo) {
	client := caller.New(demo.CallerKey, 1)
	for range 10 {
		if err := client.Complete("http://"+d.Entry, demo.Adapters[0], 1); err != nil {
			b.Fatal(err)
		}
	}
}

func benchmarkCalls(b *testing.B, base string, tokens, callers int) {
	client := caller.New(demo.CallerKey, callers)
	jobs := make(chan struct{}, callers)
	done := make(chan error, callers)
	cpuBefore := cpuTime()
	b.ResetTimer()
	for range callers {
		go func() {
			for range jobs {
				if err := client.Complete(base, demo.Adapters[0], tokens); err != nil {
					done <- err
					return
				}
			}
			done <- nil
		}()
	}
	for range b.N {
		jobs <- struct{}{}
	}
	close(jobs)
	for range callers {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	cpuUsed := cpuTime() - cpuBefore
	b.ReportMetric(float64(cpuUsed.Microseconds())/float64(b.N), "cpu-µs/op")
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
