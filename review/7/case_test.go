package review7

import (
	"testing"

	"github.com/rosemarypass/rosemarypass/review/harness2"
)

// TestReviewCase7 plays a day on which the configuration grows and nothing else happens.
func TestReviewCase7(t *testing.T) {
	harness2.RunDay(t, "demands/tokachi-orc-grown.toml", func(v harness2.Verdict) bool { return len(v.Short) > 0 })
}
