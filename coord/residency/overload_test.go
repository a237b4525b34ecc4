package residency

import (
	"fmt"
	"testing"
	"time"
)

// crowd plays callers that come in clumps, twice as many as an engine can serve, and counts what they get.
type crowd struct {
	batch    int
	run      time.Duration
	clump    int
	every    time.Duration
	target   time.Duration
	patience time.Duration
	clumps   int
}

type served struct{ inTime, late, refused, overdue int }

func (b crowd) play() served {
	o := options()
	o.Batch, o.MemoryTokens, o.Queue = b.batch, 1_000_000, 1000
	table := New(o)
	table.Take(held(start, "m/a"), start)
	const step = 5 * time.Millisecond
	arrived, ends := make(map[string]time.Time), make(map[string]time.Time)
	var got served
	take := func(actions []Action, now time.Time) {
		for _, action := range actions {
			switch a := action.(type) {
			case Start:
				ends[a.ID] = now.Add(b.run)
				if now.Add(firstEvent).After(arrived[a.ID].Add(b.target)) {
					got.late++
				} else {
					got.inTime++
				}
			case Refuse:
				got.refused++
				if now.Sub(arrived[a.ID]) > b.patience+2*step {
					got.overdue++
				}
			}
		}
	}
	last := start.Add(time.Duration(b.clumps)*b.every + b.patience + time.Second)
	for now, n := start, 0; now.Before(last); now = now.Add(step) {
		for id, end := range ends {
			if !end.After(now) {
				delete(ends, id)
				take(table.Done(id, now), now)
			}
		}
		if n < b.clumps && !now.Before(start.Add(time.Duration(n)*b.every)) {
			for i := range b.clump {
				r := request(fmt.Sprintf("%d-%d", n, i), "m/a")
				r.Target, r.Latest = now.Add(b.target), now.Add(b.patience)
				arrived[r.ID] = now
				take(table.Admit(r, now), now)
			}
			n++
		}
		take(table.Tick(now), now)
	}
	return got
}

// A burst comes over engines that are too few: twice the callers that they can serve. Served in the order in which they
// came, or with late ones in each place that is free for a moment, nearly all would be late. Whoever cannot be
// served must be told so when its time is up.
func TestUnderABurstThoseWhoCanBeInTimeAre(t *testing.T) {
	b := crowd{batch: 32, run: 2 * time.Second, clump: 16, every: 500 * time.Millisecond, target: 500 * time.Millisecond, patience: 2 * time.Second, clumps: 60}
	got := b.play()
	asked := b.clump * b.clumps
	t.Logf("%d asked: %+v", asked, got)
	if got.inTime+got.late+got.refused != asked || got.overdue > 0 {
		t.Errorf("of %d callers %+v got an answer", asked, got)
	}
	// The engine can serve half of them.
	if got.inTime*100 < asked*40 {
		t.Errorf("%d of %d are served in time, 40 in 100 could be", got.inTime, asked)
	}
}
