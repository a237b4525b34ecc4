package agent

import (
	"testing"
	"time"
)

func TestStallMeterAveragesRecentRequests(t *testing.T) {
	var m stallMeter
	steps := []struct {
		name            string
		requests        int
		waited          time.Duration
		percent, millis int
	}{
		{"all adapters loaded", 100, 0, 0, 0},
		{"every request stalls", 1000, 250 * time.Millisecond, 100, 250},
		{"a slow store", 1000, 2 * time.Second, 100, 2000},
		{"recovered", 1000, 0, 0, 0},
	}
	for _, s := range steps {
		for range s.requests {
			m.observe(s.waited)
		}
		if m.percent() != s.percent || m.millis() != s.millis {
			t.Errorf("%s: %d%% stall for %d ms, want %d%% for %d ms", s.name, m.percent(), m.millis(), s.percent, s.millis)
		}
	}
}
