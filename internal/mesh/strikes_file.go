package mesh

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/suspicion"
)

// refusals are the strikes of the requests that were refused at a time of day. Its error, where the
// clock was set, shortens or extends the refusals.
type refusals struct {
	AtMillis int64              `json:"at"`
	Strikes  []suspicion.Strike `json:"strikes"`
}

// newStrikesFile returns the copy of the strikes of refused requests on the disk: when all entries restart
// at once, none is left that could tell.
func newStrikesFile(m *Mesh) *diskCopy[refusals] {
	return newDiskCopy(m, "strikes.json", m.strikes.Change, func() refusals {
		now := time.Now()
		return refusals{AtMillis: now.UnixMilli(), Strikes: m.strikes.OfRefused(now)}
	})
}

// loadStrikes restores them.
func (m *Mesh) loadStrikes(now time.Time) {
	recalled, ok := m.strikesFile.read()
	if !ok {
		return
	}
	age := max(now.UnixMilli()-recalled.AtMillis, 0)
	for _, strike := range recalled.Strikes {
		strike.AgeMillis += age
		m.strikes.Add(strike, now)
	}
	m.log.Info("refused requests recalled from the disk", zap.Int("strikes", len(recalled.Strikes)), zap.Int64("ageMillis", age))
}
