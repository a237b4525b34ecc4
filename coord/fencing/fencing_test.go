package fencing_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/fencing"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	lease        = 2 * time.Second
	longestOrder = time.Second
	step         = 10 * time.Millisecond
	steps        = 6000
)

// effect is one order that an engine carried out.
type effect struct {
	at     time.Duration
	number uint64
}

// answer is a reply of the table on its way to an owner.
type answer struct {
	arrives time.Duration
	asked   time.Duration
	number  uint64
	first   bool
	renewed bool
}

// wouldBe is an owner that may be parted from the table, but not from the engine.
type wouldBe struct {
	owner   *fencing.Owner
	holder  string
	life    int
	number  uint64
	pending []answer
	cutTill time.Duration
}

// contest lets two would-be owners fight over one engine for a minute and
// returns the orders that the engine carried out. When naive, a new owner does
// not wait for the one before.
func contest(seed uint64, enforced, naive bool) []effect {
	random := rand.New(rand.NewPCG(seed, 4))
	// Naive owners take the engine for one that enforces numbers.
	options := fencing.Options{Lease: lease, LongestOrder: longestOrder, Enforced: enforced || naive}
	table := fencing.NewTable()
	owners := []*wouldBe{{holder: "a"}, {holder: "b"}}
	for _, w := range owners {
		w.owner = fencing.NewOwner(options)
	}
	var given []effect
	for i := range steps {
		now := time.Duration(i) * step
		for _, w := range owners {
			if random.IntN(600) == 0 {
				w.cutTill = now + time.Duration(random.IntN(5000))*time.Millisecond
			}
			w.talk(table, now, random)
			w.hear(now)
			if number, may := w.owner.MayOrder(start.Add(now)); may && random.IntN(5) == 0 {
				given = append(given, effect{at: now + time.Duration(random.Int64N(int64(longestOrder))), number: number})
			}
		}
	}
	slices.SortStableFunc(given, func(x, y effect) int { return cmp.Compare(x.at, y.at) })
	if !enforced {
		return given
	}
	var highest uint64
	return slices.DeleteFunc(given, func(e effect) bool {
		refused := e.number < highest
		highest = max(highest, e.number)
		return refused
	})
}

// talk renews, or now and then takes the engine over.
func (w *wouldBe) talk(table *fencing.Table, now time.Duration, random *rand.Rand) {
	if now < w.cutTill {
		return
	}
	reply := answer{arrives: now + time.Duration(random.IntN(500))*time.Millisecond, asked: now}
	switch {
	case random.IntN(800) == 0:
		w.life++
		reply.number, reply.first = table.Acquire("engine", fmt.Sprint(w.holder, w.life))
	case w.number > 0 && random.IntN(20) == 0:
		reply.renewed = table.Renew("engine", w.number)
	default:
		return
	}
	w.pending = append(w.pending, reply)
}

func (w *wouldBe) hear(now time.Duration) {
	w.pending = slices.DeleteFunc(w.pending, func(a answer) bool {
		if a.arrives > now {
			return false
		}
		if a.number > w.number {
			w.number = a.number
			w.owner.Acquired(a.number, a.first, start.Add(a.asked), start.Add(now))
		} else if a.number == 0 {
			w.owner.Renewed(a.renewed, start.Add(a.asked))
		}
		return true
	})
}

// backSteps counts orders that took effect after one of a later owner.
func backSteps(effects []effect) int {
	n, highest := 0, uint64(0)
	for _, e := range effects {
		if e.number < highest {
			n++
		}
		highest = max(highest, e.number)
	}
	return n
}

// Two processes believe that they own one engine, because a silent partition
// keeps the news from the first. If both gave orders, one would unload the
// adapter that the other has just begun to serve.
func TestNeverDoTwoOwnersGiveOrders(t *testing.T) {
	naive, orders := 0, 0
	for seed := range uint64(200) {
		for _, enforced := range []bool{false, true} {
			effects := contest(seed, enforced, false)
			orders += len(effects)
			if n := backSteps(effects); n > 0 {
				t.Errorf("seed %d, enforced %v: %d orders took effect after a later owner's", seed, enforced, n)
			}
		}
		naive += backSteps(contest(seed, false, true))
	}
	if naive == 0 || orders == 0 {
		t.Error("the schedules do not show the fault")
	}
	t.Logf("200 schedules: 0 of %d orders after a later owner's; without the wait %d", orders, naive)
}
