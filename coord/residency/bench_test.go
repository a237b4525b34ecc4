package residency

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAdmit measures a decision of an agent: a request of one of 3,000 teams comes to its queue. The numbers of
// entries and servers do not change what an agent does.
func BenchmarkAdmit(b *testing.B) {
	for _, waiting := range []int{16, 64, 512} {
		for _, shares := range []bool{false, true} {
			b.Run(fmt.Sprintf("waiting=%d/shares=%t", waiting, shares), func(b *testing.B) {
				o := options()
				o.Batch, o.MemoryTokens, o.Queue = 64, 1_000_000, waiting
				table := New(o)
				table.Apply(heldReport(start, "m/a"), start)
				n := 0
				admit := func(now time.Time) {
					r := Request{ID: fmt.Sprint(n), Adapter: "m/a", Rank: n % 2, Team: fmt.Sprint("team-", n%3000), Prompt: 800, Tokens: 1200, Target: now.Add(time.Second), StartDeadline: now.Add(time.Hour)}
					if shares {
						r.Share = 50 + n*37%300
					}
					n++
					table.Admit(r, now)
				}
				for range 64 + waiting - 1 {
					admit(start)
				}
				b.ReportAllocs()
				for b.Loop() {
					admit(start)
					if len(table.waiting) == waiting {
						table.waiting = table.waiting[:waiting-1]
					}
				}
			})
		}
	}
}
