package fairshare

import (
	"cmp"
	"math"
)

const (
	// withinShare is the share in percent up to which a team counts as within its
	// share. It is above 100 so that teams with equal demand are not ordered by chance.
	withinShare = 110
	// levelRatio is the ratio between the shares of two levels.
	levelRatio = 1.25
)

// Level returns how far a team is above its share, which is given in percent: 0 within
// the share or without a known one. Among equal ranks, requests of a lower level go
// first.
func Level(share int) int {
	if share <= withinShare {
		return 0
	}
	return 1 + int(math.Log(float64(min(share, MaxShare))/withinShare)/math.Log(levelRatio))
}

// Standing holds the properties of a request that decide which one gives way.
type Standing struct {
	Rank  int
	Level int
}

// CompareGivingWay orders requests so that the greatest one gives way. Equal requests
// give way in the reverse order of arrival. Sizes do not count, so that long prompts are
// not refused for their length.
func CompareGivingWay(a, b Standing) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Level, b.Level))
}
