package fairshare

import (
	"math"
	"slices"
	"time"
)

const (
	// startsPerTurn is the number of starts of which a rank that waits gets one at least.
	startsPerTurn = 8
	// owedPart is the part of what all ranks got lately, in starts for each arrival, below which a rank gets further
	// turns: it is owed a quarter, and the rest leaves room for chance. leastPerTurn is the number of starts of which it
	// then gets one at most.
	owedPart     = 0.3
	leastPerTurn = 4
)

// RankTurns sees to it that each rank gets turns while it waits, however many requests of more urgent ranks arrive. The
// zero value is ready to use.
type RankTurns struct {
	ranks []rankTurn
	// arrived and started are the decayed numbers of requests of all ranks, at the time at.
	arrived float64
	started float64
	at      time.Time
}

type rankTurn struct {
	rank int
	// passed counts the starts of other ranks since the rank's own last one, while it waited.
	passed int
	// arrived and started are the decayed numbers of its requests, at the time RankTurns.at.
	arrived float64
	started float64
}

func (t *RankTurns) of(rank int) *rankTurn {
	for i := range t.ranks {
		if t.ranks[i].rank == rank {
			return &t.ranks[i]
		}
	}
	t.ranks = append(t.ranks, rankTurn{rank: rank})
	return &t.ranks[len(t.ranks)-1]
}

// Arrived records that a request of a rank arrived, whether it is served or not.
func (t *RankTurns) Arrived(rank int, now time.Time) {
	if elapsed := now.Sub(t.at); elapsed > 0 {
		decay := math.Exp2(-float64(elapsed) / float64(useHalfLife))
		t.arrived, t.started, t.at = t.arrived*decay, t.started*decay, now
		for i := range t.ranks {
			t.ranks[i].arrived *= decay
			t.ranks[i].started *= decay
		}
	}
	t.arrived++
	t.of(rank).arrived++
}

// Started records the start of a request. waiting are the ranks of which requests could start.
func (t *RankTurns) Started(rank int, waiting []int) {
	r := t.of(rank)
	r.passed = 0
	r.started++
	t.started++
	for _, w := range waiting {
		if w != rank {
			t.of(w).passed++
		}
	}
}

// Due returns the rank whose turn it is, and whether there is one. waiting are the ranks of which requests could start,
// the most urgent first, which needs no turn; ranks that do not wait lose theirs.
func (t *RankTurns) Due(waiting []int) (rank int, due bool) {
	most := 0
	for i := range t.ranks {
		r := &t.ranks[i]
		switch {
		case !slices.Contains(waiting, r.rank):
			r.passed = 0
		case r.rank == waiting[0]:
		case r.passed > most && (r.passed >= startsPerTurn-1 || r.passed >= leastPerTurn-1 && t.owed(r)):
			rank, most, due = r.rank, r.passed, true
		}
	}
	return rank, due
}

// owed reports whether a rank got too little of what all got.
func (t *RankTurns) owed(r *rankTurn) bool {
	return r.started*t.arrived < owedPart*t.started*r.arrived
}
