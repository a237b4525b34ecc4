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

// BenchmarkFleet runs separate processes on loopback and prints the resources
// that each role uses, idle and under load, and the time until a change is in
// force in every daemon. docs/CAPACITY.md compares the results with its slopes.
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

// report runs work for the given period and prints the resource usage of each role.
func (f *fleet) report(title string, period time.Duration, work func(stop <-chan struct{})) {
	f.tb.Helper()
	before := make(map[*process]usage)
	for _, p := range f.processes {
		before[p] = f.usage(p)
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { work(stop) })
	time.Sleep(period)
	close(stop)
	running.Wait()
	fmt.Println(title)
	for _, role := range []string{"control", "entry", "agent", "standin"} {
		f.reportRole(role, period, before)
	}
}

func (f *fleet) reportRole(role string, period time.Duration, before map[*process]usage) {
	var shares, sizes, rates []float64
	for _, p := range f.processesWithRole(role) {
		now := f.usage(p)
		shares = append(shares, 100*(now.cpuTime-before[p].cpuTime).Seconds()/period.Seconds())
		sizes = append(sizes, float64(now.residentBytes)/1e6)
		rates = append(rates, float64(now.rpcBytes-before[p].rpcBytes)/period.Seconds()/1000)
	}
	slices.Sort(shares)
	slices.Sort(sizes)
	slices.Sort(rates)
	last := len(shares) - 1
	fmt.Printf("  %-8s %3d processes, median and most: %% of a core %.2f %.2f; resident MB %.1f %.1f; control KB/s %.1f %.1f\n",
		role, len(shares), median(shares), shares[last], median(sizes), sizes[last], median(rates), rates[last])
}

func median(sorted []float64) float64 { return sorted[len(sorted)/2] }

// reportChanges changes the contract n times, waits each time until the change is
// in force in every daemon, and prints how long that took.
func (f *fleet) reportChanges(n int) {
	f.tb.Helper()
	var times []float64
	for range n {
		current, err := f.client.Contract(f.tb.Context(), "amman")
		if err != nil {
			f.tb.Fatal(err)
		}
		start := time.Now()
		index := f.putContract(current.Revision)
		report, err := f.client.InForce(f.tb.Context(), index, 10*time.Second)
		if err != nil || !report.Done {
			f.tb.Fatalf("%+v, %v", report, err)
		}
		times = append(times, time.Since(start).Seconds()*1000)
	}
	slices.Sort(times)
	fmt.Printf("%d changes in force everywhere: median %.0f ms, most %.0f ms\n", n, median(times), times[n-1])
}

// load returns a function that sends perSecond requests per second to the entries
// in turn until it is stopped, and prints how many were answered and how many failed.
func (f *fleet) load(perSecond, tokens int) func(<-chan struct{}) {
	client := caller.New(fleetCallerKey, 64)
	entries := f.processesWithRole("entry")
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
					if err := client.Complete(entries[i%len(entries)].url(), adapterName(i), tokens); err != nil {
						failed.Add(1)
						return
					}
					answered.Add(1)
				})
			}
		}
	}
}
