package sharedlimit

import (
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/credit"
)

// Guards against calls between entries for limits that nobody has.
func TestEntriesWithoutLimitsExchangeNothing(t *testing.T) {
	before := Teams.exchanges.Value()
	playWith(t, 30, credit.Limit{}, func(_ *testing.T, _ *network) { time.Sleep(10 * time.Second) })
	if made := Teams.exchanges.Value() - before; made != 0 {
		t.Errorf("%d exchanges in 15 s, want none", made)
	}
}
