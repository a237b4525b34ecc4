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

// BenchmarkDataPath compares the stand-in engine called directly with the same
// call through entry and agent, in one process and one run. The difference
// between the two is what the system adds. cpu-µs/op is the whole process's
// processor time: client, roles and engine.
func BenchmarkDataPath(b *testing.B) {
	for _, secure := range []bool{false, true} {
		d := startForBenchmark(b, secure)
		warm(b, d)
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
		files = issueFiles(b)
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

func warm(b *testing.B, d *demo.Demo) {
	asking := caller.New(demo.CallerKey, 1)
	for range 10 {
		if err := asking.Complete("http://"+d.Entry, demo.Adapters[0], 1); err != nil {
			b.Fatal(err)
		}
	}
}

func benchmarkCalls(b *testing.B, base string, tokens, callers int) {
	asking := caller.New(demo.CallerKey, callers)
	jobs := make(chan struct{}, callers)
	done := make(chan error, callers)
	before := processorTime()
	b.ResetTimer()
	for range callers {
		go func() {
			for range jobs {
				if err := asking.Complete(base, demo.Adapters[0], tokens); err != nil {
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
	used := processorTime() - before
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-µs/op")
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
