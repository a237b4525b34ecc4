package gateway

import (
	"fmt"
	"testing"
	"time"
)

// restartLoad is a load of which every request fails, at entries that all restart in one window.
type restartLoad struct {
	entries, restarts int
	// rate is the number of requests a second at each entry.
	rate float64
}

// play returns the requests and the repeats of a window.
func (l restartLoad) play(options Options) (requests, repeats int) {
	const calm = time.Minute
	start := time.Unix(1000, 0)
	spacing := time.Duration(float64(time.Second) / l.rate)
	for i := range l.entries {
		b := newBudget(options, nil)
		b.started = start
		b.observeEntries(l.entries)
		lifetime, restarts := options.RepeatWindow/time.Duration(l.restarts+1), 0
		for at := spacing * time.Duration(i) / time.Duration(l.entries); at < calm+options.RepeatWindow; at += spacing {
			now := start.Add(at)
			if restarts < l.restarts && at >= calm+lifetime*time.Duration(restarts+1) {
				restarts++
				options.Restarted = true
				b = newBudget(options, nil)
				b.started = now
			}
			b.credit("s", now)
			if at < calm {
				continue
			}
			// An entry hears of the others a moment after its start.
			if now.Sub(b.started) >= sweepInterval {
				b.observeEntries(l.entries)
			}
			requests++
			for b.take("s", now) {
				repeats++
			}
		}
		options.Restarted = false
	}
	return requests, repeats
}

// Guards against entries that restart and repeat more in sum than the deployment allows, because each began with its whole part of the slack.
func TestRestartedEntriesRepeatNoMoreThanTheBound(t *testing.T) {
	options := Options{RepeatRatio: 0.2, RepeatSlack: 58, RepeatWindow: 10 * time.Second}
	for _, entries := range []int{1, 4, 8, 31} {
		for restarts := range 5 {
			for _, rate := range []float64{0.5, 1, 4, 16} {
				t.Run(fmt.Sprintf("%d entries, %d restarts, %.1f a second", entries, restarts, rate), func(t *testing.T) {
					requests, repeats := restartLoad{entries: entries, restarts: restarts, rate: rate}.play(options)
					if bound := options.RepeatRatio*float64(requests) + options.RepeatSlack; float64(repeats) > bound {
						t.Errorf("%d of %d requests were repeated, the bound is %.0f", repeats, requests, bound)
					}
				})
			}
		}
	}
}

// Guards against an entry that has restarted and passes on a server's failure to its callers for long.
func TestRestartedEntryRepeatsSoon(t *testing.T) {
	const entries, rate, soon = 8, 4, 3 * time.Second
	b := newBudget(Options{RepeatRatio: 0.2, RepeatSlack: 58, RepeatWindow: 10 * time.Second, Restarted: true}, nil)
	b.started = time.Unix(1000, 0)
	b.observeEntries(entries)
	for at := time.Duration(0); at < soon; at += time.Second / rate {
		b.credit("s", b.started.Add(at))
	}
	if !b.take("s", b.started.Add(soon)) {
		t.Errorf("%s after its start an entry with %d requests a second repeats none", soon, rate)
	}
}
