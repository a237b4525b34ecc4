package control

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/state"
)

func TestClockAheadIsMeasuredAgainstTheMiddle(t *testing.T) {
	const year = 365 * 24 * time.Hour
	cases := []struct {
		name    string
		offsets []time.Duration
		want    time.Duration
	}{
		{"alone", []time.Duration{0}, 0},
		{"nobody answers", nil, 0},
		{"own clock a year ahead", []time.Duration{0, -year, -year + time.Second}, year - time.Second},
		{"another one a year ahead", []time.Duration{year, 0, time.Millisecond}, -time.Millisecond},
		{"of two", []time.Duration{-year, 0}, 0},
		{"own clock behind", []time.Duration{year, year, 0}, -year},
	}
	for _, c := range cases {
		if got := clockAhead(c.offsets); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// An instance's clock is set a year ahead. A single change through it would let
// every lease in the state expire at once, and none for a year after that.
func TestInstanceWithAClockAheadAcceptsNothing(t *testing.T) {
	c := New(Options{}, zap.NewNop())
	c.clock.set(time.Hour)
	if _, err := c.Propose(context.Background(), state.Command{}); !errors.Is(err, ErrNotAccepted) {
		t.Errorf("got %v", err)
	}
	c.clock.set(-time.Hour)
	if _, err := c.Propose(context.Background(), state.Command{}); err != nil {
		t.Errorf("a clock behind does no harm: %v", err)
	}
}
