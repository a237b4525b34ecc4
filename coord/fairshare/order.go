package fairshare

import (
	"cmp"
	"math"
)

const (
	// withinShare is the share in percent up to which a team counts as within its share. Above 100, so that teams with
	// equal demand are not ordered by chance.
	withinShare = 110
	// levelRatio is the ratio between the shares of two levels.
	levelRatio = 1.25
)

// Level returns how far a team is above its share: 0 within it, and where no share is told. Among equal ranks, requests
// of a lower level go first.
func Level(share int) int {
	if share <= withinShare {
		return 0
	}
	return 1 + int(math.Log(float64(min(share, MaxShare))/withinShare)/math.Log(levelRatio))
}

// Standing is what decides which request gives way.
type Standing struct {
	Rank  int
	Level int
}

// CompareGivingWay orders requests by who gives way: the last of the order goes first. Requests that are equal by it give
// way in the reverse order of arrival. Sizes do not matter, so long prompts are not refused for being long.
func CompareGivingWay(a, b Standing) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Level, b.Level))
}
