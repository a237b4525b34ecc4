package main

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/standin/caller"
)

// BenchmarkFleet runs real processes on loopback and prints what each role
// uses, at rest and under load, beside the time in which a change is in force
// everywhere. docs/CAPACITY.md compares it with the slopes.
//
//	go test ./cmd/rosemaryd -run xxx -bench Fleet -benchtime 1x
func BenchmarkFleet(b *testing.B) {
	const (
		settle = 3 * time.Second
		period = 15 * time.Second
	)
	for range b.N {
		f := startFleet(b, 3, 20, 22)
		time.Sleep(settle)
		f.report("at rest", period, func(<-chan struct{}) {})
		f.reportChanges(10)
		f.report("200 requests/s of 20 tokens", period, f.load(200, 20))
	}
}

// report prints each role's use during a period in which work runs.
func (f *fleet) report(title string, period time.Duration, work func(stop <-chan struct{})) {
	f.tb.Helper()
	before := make(map[*process]usage)
	for _, p := range f.processes {
		before[p] = f.usage(p)
	}
	stop := make(chan struct{})
	var working sync.WaitGroup
	working.Go(func() { work(stop) })
	time.Sleep(period)
	close(stop)
	working.Wait()
	fmt.Println(title)
	for _, role := range []string{"control", "entry", "agent", "standin"} {
		f.reportRole(role, period, before)
	}
}

func (f *fleet) reportRole(role string, period time.Duration, before map[*process]usage) {
	var shares, sizes, rates []float64
	for _, p := range f.role(role) {
		now := f.usage(p)
		shares = append(shares, 100*(now.processor-before[p].processor).Seconds()/period.Seconds())
		sizes = append(sizes, float64(now.resident)/1e6)
		rates = append(rates, float64(now.control-before[p].control)/period.Seconds()/1000)
	}
	slices.Sort(shares)
	slices.Sort(sizes)
	slices.Sort(rates)
	last := len(shares) - 1
	fmt.Printf("  %-8s %3d processes, median and most: %% of a core %.2f %.2f; resident MB %.1f %.1f; control KB/s %.1f %.1f\n",
		role, len(shares), median(shares), shares[last], median(sizes), sizes[last], median(rates), rates[last])
}

func median(sorted []float64) float64 { return sorted[len(sorted)/2] }

// reportChanges changes the contract and waits until every daemon confirms.
func (f *fleet) reportChanges(n int) {
	f.tb.Helper()
	var times []float64
	for range n {
		current, err := f.client.Contract(f.tb.Context(), "amman")
		if err != nil {
			f.tb.Fatal(err)
		}
		began := time.Now()
		index := f.putContract(current.Revision)
		report, err := f.client.InForce(f.tb.Context(), index, 10*time.Second)
		if err != nil || !report.Done {
			f.tb.Fatalf("%+v, %v", report, err)
		}
		times = append(times, time.Since(began).Seconds()*1000)
	}
	slices.Sort(times)
	fmt.Printf("%d changes in force everywhere: median %.0f ms, most %.0f ms\n", n, median(times), times[n-1])
}

// load sends requests at a rate to the entries in turn and prints how they fared.
func (f *fleet) load(perSecond, tokens int) func(<-chan struct{}) {
	asking := caller.New(fleetCallerKey, 64)
	entries := f.role("entry")
	var answered, failed atomic.Int64
	return func(stop <-chan struct{}) {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		var sent sync.WaitGroup
		for i := 0; ; i++ {
			select {
			case <-stop:
				sent.Wait()
				fmt.Printf("%d answered, %d failed\n", answered.Load(), failed.Load())
				return
			case <-ticker.C:
				sent.Go(func() {
					if err := asking.Complete(entries[i%len(entries)].url(), model(i), tokens); err != nil {
						failed.Add(1)
						return
					}
					answered.Add(1)
				})
			}
		}
	}
}
