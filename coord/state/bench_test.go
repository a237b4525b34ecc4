package state_test

import (
	"fmt"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/state"
)

func manyAdapters(n int) *state.Machine {
	m := state.NewMachine()
	m.Apply(1, state.Command{PutModel: &catalogue.Model{Name: "base"}})
	for i := range n {
		ref := fmt.Sprintf("rehearsal-plan-%06d@1", i)
		m.Apply(uint64(i+2), state.Command{PutAdapter: adapter(ref, "store://adapters/"+ref)})
	}
	return m
}

// BenchmarkState measures encoding and decoding the whole state, the snapshot for
// daemons, and the preceding freeze, during which a control instance answers no
// requests.
func BenchmarkState(b *testing.B) {
	for _, n := range []int{3_000, 130_000} {
		m := manyAdapters(n)
		data := encoded(b, m)
		b.Run(fmt.Sprintf("encode/%d", n), func(b *testing.B) {
			for b.Loop() {
				encoded(b, m)
			}
			b.ReportMetric(float64(len(data)), "B")
		})
		b.Run(fmt.Sprintf("decode/%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := state.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("freeze/%d", n), func(b *testing.B) {
			for b.Loop() {
				m.Freeze()
			}
		})
		b.Run(fmt.Sprintf("snapshot/%d", n), func(b *testing.B) {
			frozen := m.Freeze()
			for b.Loop() {
				frozen.Snapshot()
			}
		})
	}
}

func BenchmarkApply(b *testing.B) {
	m := state.NewMachine()
	revision := uint64(0)
	for index := uint64(1); b.Loop(); index++ {
		command := createContract("cascade", float64(index), keyHash(1))
		command.PutContract.Expected = revision
		m.Apply(index, command)
		revision = index
	}
}
