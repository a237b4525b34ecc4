package control

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/state"
)

func TestClockAheadOfMedian(t *testing.T) {
	const year = 365 * 24 * time.Hour
	cases := []struct {
		name    string
		offsets []time.Duration
		want    time.Duration
	}{
		{"single instance", []time.Duration{0}, 0},
		{"no answer", nil, 0},
		{"own clock a year ahead", []time.Duration{0, -year, -year + time.Second}, year - time.Second},
		{"other clock a year ahead", []time.Duration{year, 0, time.Millisecond}, -time.Millisecond},
		{"two instances", []time.Duration{-year, 0}, 0},
		{"own clock behind", []time.Duration{year, year, 0}, -year},
	}
	for _, c := range cases {
		if got := clockAhead(c.offsets); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// One command from an instance whose clock is far ahead would expire every lease in
// the state at once, and keep later leases from expiring until the other clocks have
// caught up. Such an instance must refuse to propose.
func TestProposeRefusedWithClockAhead(t *testing.T) {
	c := New(Options{}, zap.NewNop())
	c.clock.set(time.Hour)
	if _, err := c.Propose(context.Background(), state.Command{}); !errors.Is(err, ErrNotAccepted) {
		t.Errorf("got error %v, want ErrNotAccepted", err)
	}
	c.clock.set(-time.Hour)
	if _, err := c.Propose(context.Background(), state.Command{}); err != nil {
		t.Errorf("refused with the clock behind: %v", err)
	}
}
