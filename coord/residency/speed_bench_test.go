package residency

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkReportWithEvents measures a report of a full batch, with what it does to the estimate
// of the speed and the decisions behind it.
func BenchmarkReportWithEvents(b *testing.B) {
	for _, told := range []bool{false, true} {
		b.Run(fmt.Sprintf("events=%v", told), func(b *testing.B) {
			o := options()
			o.Batch, o.MemoryTokens, o.Queue = 64, 1_000_000, 512
			table := New(o)
			events, running := make(map[string]int), make(map[string]bool)
			for i := range 64 {
				r := request(fmt.Sprint(i), "")
				r.Gap, r.Tokens = allowedGap, 100
				table.Admit(r, start)
				table.FirstEvent(r.ID, start)
				events[r.ID], running[r.ID] = 1, true
			}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				r := Report{Running: running, RequestedAt: now}
				if told {
					for id := range events {
						events[id] += 3
					}
					r.Events = events
				}
				table.Apply(r, now)
				table.Hold(now)
				table.SlowPercent(now)
			}
		})
	}
}
