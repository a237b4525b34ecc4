package credit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// serverWindow, serverOver and serverSlack say what a server in need bears beyond its rate.
	serverWindow = 4 * time.Second
	serverOver   = 1.5
	serverSlack  = 5
	// serverPlay is the time for which a server names its rate, and serverLoad how many times the rate comes.
	serverPlay = 24 * time.Second
	// serverWarmUp is the time from the naming on in which what is used does not count: nothing is saved up yet.
	serverWarmUp = 4 * time.Second
	serverLoad   = 6
)

// serverInterval is the time between two exchanges, which grows with the entries.
func serverInterval(entries int) time.Duration {
	return max(100*time.Millisecond, time.Duration(entries)*4*time.Millisecond/modelStep*modelStep)
}

// rateWay is one way to keep a server's rate over all entries.
type rateWay interface {
	// ask reports whether an entry may send a request. It may answer later by calling sent.
	ask(entry int)
	step()
	elapsed() time.Duration
	// sends returns when requests were sent.
	sends() []time.Time
	// fault disturbs the entries as drawn.
	fault(random *rand.Rand)
}

// creditWay exchanges credit without an owner.
type creditWay struct {
	*model
	keepers []int
}

func newCreditWay(seed uint64, entries int, rate float64) rateWay {
	options := ServerOptions()
	options.Interval = serverInterval(entries)
	w := &creditWay{model: newModelOf(seed, entries, OfServer(rate), options), keepers: make([]int, entries)}
	w.keeper = func(i int) int { return w.keepers[i] }
	// The entries run already as the server names its rate.
	clear(w.upAt)
	return w
}

func (w *creditWay) ask(entry int)           { w.request(entry, 1) }
func (w *creditWay) elapsed() time.Duration  { return w.now.Sub(modelStart) }
func (w *creditWay) fault(random *rand.Rand) { w.playFault(random, w.keepers) }

func (w *creditWay) sends() (at []time.Time) {
	for _, a := range w.admitted {
		at = append(at, a.at)
	}
	return at
}

// partsWay gives each entry its part of the rate, at least one request at once.
type partsWay struct {
	holders []bucket
	part    float64
	now     time.Time
	sent    []time.Time
}

type bucket struct {
	level float64
	at    time.Time
}

func newPartsWay(_ uint64, entries int, rate float64) rateWay {
	limit := OfServer(rate)
	w := &partsWay{holders: make([]bucket, entries), part: limit.Rate / float64(entries), now: modelStart}
	for i := range w.holders {
		w.holders[i] = bucket{1, w.now}
	}
	return w
}

func (w *partsWay) ask(entry int) {
	b := &w.holders[entry]
	b.level = min(b.level+w.part*w.now.Sub(b.at).Seconds(), max(1, w.part))
	b.at = w.now
	if b.level >= 1 {
		b.level--
		w.sent = append(w.sent, w.now)
	}
}

func (w *partsWay) step()                  { w.now = w.now.Add(modelStep) }
func (w *partsWay) elapsed() time.Duration { return w.now.Sub(modelStart) }
func (w *partsWay) sends() []time.Time     { return w.sent }

func (w *partsWay) fault(random *rand.Rand) {
	if random.IntN(400) == 0 {
		w.holders[random.IntN(len(w.holders))] = bucket{1, w.now}
	}
}

// turnsWay has one entry for the server hand out turns from its own bucket, which is full at its start.
type turnsWay struct {
	*model
	keepers []int
	buckets []bucket
	sent    []time.Time
}

func newTurnsWay(seed uint64, entries int, rate float64) rateWay {
	w := &turnsWay{model: newModelOf(seed, entries, OfServer(rate), ServerOptions()), keepers: make([]int, entries), buckets: make([]bucket, entries)}
	w.options.Interval = time.Hour
	w.fillAll()
	return w
}

func (w *turnsWay) fillAll() {
	for i := range w.buckets {
		w.buckets[i] = bucket{w.limit.stock(), w.now}
	}
}

func (w *turnsWay) ask(entry int) {
	keeper := w.keepers[entry]
	w.send(entry, keeper, func() {
		b := &w.buckets[keeper]
		b.level = min(b.level+w.limit.Rate*w.now.Sub(b.at).Seconds(), w.limit.stock())
		b.at = w.now
		if b.level < 1 {
			return
		}
		b.level--
		w.send(keeper, entry, func() { w.sent = append(w.sent, w.now) })
	})
}

func (w *turnsWay) elapsed() time.Duration { return w.now.Sub(modelStart) }
func (w *turnsWay) sends() []time.Time     { return w.sent }

func (w *turnsWay) fault(random *rand.Rand) {
	half := random.IntN(400) == 0
	w.playFault(random, w.keepers)
	if !half {
		return
	}
	// Each half chooses one of its own, which fills its bucket anew.
	for i := range w.keepers {
		w.keepers[i] = i * 2 / len(w.keepers) * (len(w.keepers) / 2)
	}
	w.fillAll()
}

// fullestWindow returns the most sends in a window, as a share of what the server bears.
func fullestWindow(sends []time.Time, rate float64) float64 {
	most, first := 0, 0
	for i, at := range sends {
		for at.Sub(sends[first]) > serverWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return float64(most) / (serverOver*rate*serverWindow.Seconds() + serverSlack)
}

// playServer plays requests for a server that names a rate; at chooses the entry of each.
func playServer(w rateWay, seed uint64, entries int, rate float64, at func(random *rand.Rand, second int) int, faults bool) (fullest, used float64) {
	random := rand.New(rand.NewPCG(seed, 9))
	for w.elapsed() < serverPlay {
		expected := serverLoad * max(rate, 2) * modelStep.Seconds()
		for ; expected > 0; expected-- {
			if random.Float64() < expected {
				w.ask(at(random, int(w.elapsed().Seconds())))
			}
		}
		if faults {
			w.fault(random)
		}
		w.step()
	}
	sends := w.sends()
	warm, late := serverPlay-serverWarmUp, 0
	for _, at := range sends {
		if at.Sub(modelStart) >= serverWarmUp {
			late++
		}
	}
	return fullestWindow(sends, rate), float64(late) / (OfServer(rate).Rate * warm.Seconds())
}

var rateWays = []struct {
	name string
	make func(seed uint64, entries int, rate float64) rateWay
}{{"credit", newCreditWay}, {"even parts", newPartsWay}, {"one entry hands out turns", newTurnsWay}}

// Guards against a server in need that gets more than it bears, over any number of entries, whatever is lost, cut off or started again.
func TestServersRateHoldsThroughFaults(t *testing.T) {
	for _, entries := range []int{1, 2, 8, 17, 31, 100, 300} {
		worst := 0.0
		for _, rate := range []float64{0, 0.5, 1, 2.5, 20, 300} {
			for seed := range max(1, modelSeeds()/(8*uint64(entries))) {
				random := rand.New(rand.NewPCG(seed, 3))
				w := newCreditWay(seed, entries, rate).(*creditWay)
				w.loss, w.delay = 0.2*random.Float64(), time.Duration(1+random.IntN(30))*time.Millisecond
				hotspot := random.IntN(entries)
				at := func(random *rand.Rand, _ int) int {
					if random.IntN(2) == 0 {
						return hotspot
					}
					return random.IntN(entries)
				}
				fullest, _ := playServer(w, seed, entries, rate, at, true)
				worst = max(worst, fullest)
				if fullest > 1 {
					t.Errorf("%d entries, rate %v, seed %d: a window had %.2f of what the server bears", entries, rate, seed, fullest)
				}
			}
		}
		t.Logf("%d entries: the fullest window had %.2f of what the server bears", entries, worst)
	}
}

// Guards against a rate that cannot be used: by callers at one entry, at all, or at one after the other.
func TestServersRateIsUsed(t *testing.T) {
	for _, entries := range []int{1, 2, 8, 17, 31, 100, 300} {
		for _, rate := range []float64{0.5, 2.5, 20, 300} {
			for name, at := range spreads(entries) {
				_, used := playServer(newCreditWay(1, entries, rate), 1, entries, rate, at, false)
				if used < 0.95 {
					t.Errorf("%d entries, rate %v, callers %s: %.2f of the rate was used", entries, rate, name, used)
				}
			}
		}
	}
}

func spreads(entries int) map[string]func(random *rand.Rand, second int) int {
	return map[string]func(random *rand.Rand, second int) int{
		"at all":    func(random *rand.Rand, _ int) int { return random.IntN(entries) },
		"at one":    func(*rand.Rand, int) int { return entries / 2 },
		"that move": func(_ *rand.Rand, second int) int { return second / 3 % entries },
	}
}

// Guards against a way to keep a server's rate that is worse than the others that were weighed, on the same requests and faults.
func TestWaysToKeepAServersRate(t *testing.T) {
	for _, way := range rateWays {
		for _, entries := range []int{8, 31, 300} {
			line := ""
			for _, rate := range []float64{1, 20} {
				fullest, used := 0.0, 0.0
				for seed := range uint64(5) {
					f, _ := playServer(way.make(seed, entries, rate), seed, entries, rate, spreads(entries)["at all"], true)
					fullest = max(fullest, f)
				}
				for _, at := range spreads(entries) {
					_, u := playServer(way.make(1, entries, rate), 1, entries, rate, at, false)
					if used == 0 || u < used {
						used = u
					}
				}
				if way.name == "credit" && (fullest > 1 || used < 0.95) {
					t.Errorf("%d entries, rate %v: the fullest window %.2f, used %.2f", entries, rate, fullest, used)
				}
				line += fmt.Sprintf("; at %v a second the fullest window %.2f of what it bears, %.2f used at worst", rate, fullest, used)
			}
			t.Logf("%s, %d entries%s", way.name, entries, line)
		}
	}
}
