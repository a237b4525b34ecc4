package credit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// shareStep is the pause between two observations of an entry in these plays.
const shareStep = 100 * time.Millisecond

// startingFleet plays entries that start and learn of each other.
type startingFleet struct {
	starts []time.Duration
	// learns is how long an entry takes to learn of another one that has started.
	learns func() time.Duration
}

// parts returns when each entry first creates credit, after its start, and the greatest sum of the parts of all.
func (f startingFleet) parts(until time.Duration) (firsts []time.Duration, most float64) {
	n := len(f.starts)
	shares, among := make([]Share, n), make([]int, n)
	learned := make([][]time.Duration, n)
	firsts = make([]time.Duration, n)
	for i := range n {
		learned[i], firsts[i] = make([]time.Duration, n), -1
		for j := range n {
			if learned[i][j] = max(f.starts[i], f.starts[j]); i != j {
				learned[i][j] += f.learns()
			}
		}
		slices.Sort(learned[i])
	}
	const tick = 10 * time.Millisecond
	for at := time.Duration(0); at < until; at += tick {
		sum := 0.0
		for i := range n {
			if at < f.starts[i] {
				continue
			}
			if (at-f.starts[i].Truncate(tick))%shareStep < tick {
				known, _ := slices.BinarySearch(learned[i], at+1)
				among[i] = shares[i].Observe(known, true, true, modelStart.Add(at))
			}
			if among[i] > 0 {
				sum += 1 / float64(among[i])
				if firsts[i] < 0 {
					firsts[i] = at - f.starts[i]
				}
			}
		}
		most = max(most, sum)
	}
	return firsts, most
}

// Guards against entries that create no credit until the last of many has started, and against more than the whole rate while they start.
func TestEntriesThatStartTogetherCreateTheirParts(t *testing.T) {
	for _, entries := range []int{2, 30, 100, 300, 1000} {
		for _, over := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second, 11 * time.Second} {
			random := rand.New(rand.NewPCG(uint64(entries), uint64(over)))
			fleet := startingFleet{
				starts: make([]time.Duration, entries),
				learns: func() time.Duration { return time.Duration(random.Int64N(int64(learnTime - shareStep))) },
			}
			for i := range fleet.starts {
				if over > 0 && i > 0 {
					fleet.starts[i] = time.Duration(random.Int64N(int64(over)))
				}
			}
			firsts, most := fleet.parts(over + 2*time.Second)
			if slices.Contains(firsts, -1) {
				t.Errorf("%d entries over %s: an entry creates nothing", entries, over)
			}
			slices.Sort(firsts)
			t.Logf("%4d entries over %4s: first credit after %s, at the last %s; at most %.2f of the rate", entries, over, firsts[len(firsts)/2], firsts[len(firsts)-1], most)
			if last := firsts[len(firsts)-1]; last > learnTime+2*shareStep {
				t.Errorf("%d entries over %s: an entry creates its first credit after %s", entries, over, last)
			}
			if most > 1.001 {
				t.Errorf("%d entries over %s: they create %.2f of the rate", entries, over, most)
			}
		}
	}
}
