package fairshare

import (
	"math"
	"slices"
	"time"
)

const (
	// startsPerTurn is the number of consecutive starts of which a waiting rank gets
	// at least one.
	startsPerTurn = 8
	// underservedRatio is the part of the mean ratio of starts to arrivals over all
	// ranks below which a rank is underserved. A rank is to reach a quarter; the
	// difference allows for chance. underservedStartsPerTurn applies to such a rank
	// instead of startsPerTurn.
	underservedRatio         = 0.3
	underservedStartsPerTurn = 4
)

// RankTurns prevents the starvation of ranks: each rank gets turns while it waits,
// however many requests of more urgent ranks arrive. The zero value is ready to use.
type RankTurns struct {
	ranks []rankTurn
	// arrived and started are the decayed numbers of requests of all ranks at the time
	// at.
	arrived float64
	started float64
	at      time.Time
}

type rankTurn struct {
	rank int
	// passed counts the starts of other ranks since the rank's own last one, while it
	// waited.
	passed int
	// arrived and started are the decayed numbers of its requests at the time
	// RankTurns.at.
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

// Started records the start of a request of a rank. waiting holds the ranks of the
// requests that could start.
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

// Due returns the rank whose turn it is, and whether there is one. waiting holds the
// ranks of the requests that could start, the most urgent first; that one needs no turn.
// Ranks that do not wait lose theirs.
func (t *RankTurns) Due(waiting []int) (rank int, due bool) {
	most := 0
	for i := range t.ranks {
		r := &t.ranks[i]
		switch {
		case !slices.Contains(waiting, r.rank):
			r.passed = 0
		case r.rank == waiting[0]:
		case r.passed > most && (r.passed >= startsPerTurn-1 || r.passed >= underservedStartsPerTurn-1 && t.underserved(r)):
			rank, most, due = r.rank, r.passed, true
		}
	}
	return rank, due
}

// underserved reports whether a rank had too few starts for its arrivals, compared with
// all ranks.
func (t *RankTurns) underserved(r *rankTurn) bool {
	return r.started*t.arrived < underservedRatio*t.started*r.arrived
}
