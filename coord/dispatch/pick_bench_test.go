package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPick is one choice among 600 engines, none or all of which tell a factor and hold prompts back.
func BenchmarkPick(b *testing.B) {
	for name, slow := range map[string]float64{"without factor": 0, "with factor": 2.5} {
		b.Run(name, func(b *testing.B) {
			candidates := make([]Candidate, 600)
			for i := range candidates {
				c := candidate(fmt.Sprint("s", i))
				c.Running, c.Answer, c.PromptTime, c.Age, c.Slow = i%48, 40*time.Millisecond, 50*time.Millisecond, time.Duration(i)*time.Millisecond, slow
				if slow > 0 {
					c.HoldAbove, c.Hold = 1000, 300*time.Millisecond
				}
				candidates[i] = c
			}
			r := Request{DataCentre: "here", Prompt: 1500, Tokens: 1700, Target: time.Second}
			b.ReportAllocs()
			for b.Loop() {
				Pick(candidates, r, noJitter)
			}
		})
	}
}
