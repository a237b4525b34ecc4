package catalogue_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/internal/liveheap"
)

// drawAdapter draws from few names, so that versions repeat.
func drawAdapter(t *rapid.T) catalogue.Adapter {
	a := catalogue.Adapter{
		Ref: catalogue.Ref{
			Adapter: rapid.StringMatching(`[ab]{1,3}`).Draw(t, "adapter"),
			Version: rapid.StringMatching(`[12]{1,2}`).Draw(t, "version"),
		},
		BaseModel: rapid.SampledFrom([]string{"base", "other"}).Draw(t, "model"),
		Retired:   rapid.IntRange(0, 4).Draw(t, "retired") == 0,
	}
	a.Source = rapid.SampledFrom([]string{"s", "store://" + a.Ref.String(), a.Ref.String() + "/" + a.Ref.String(), "\x00", "\x00" + a.Ref.String()}).Draw(t, "source")
	return a
}

func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, reference := catalogue.NewTable(), make(map[catalogue.Ref]catalogue.Adapter)
		original := catalogue.NewTable()
		for range rapid.IntRange(0, 300).Draw(t, "puts") {
			a := drawAdapter(t)
			if rapid.IntRange(0, 20).Draw(t, "clone") == 0 {
				original, table = table, table.Clone()
			}
			// Changes of the original must not affect its clone.
			original.Put(drawAdapter(t))
			table.Put(a)
			known, exists := reference[a.Ref]
			if exists {
				known.Retired = known.Retired || a.Retired
				a = known
			}
			reference[a.Ref] = a
		}
		if table.Len() != len(reference) || len(table.Sorted()) != len(reference) {
			t.Fatalf("%d versions, want %d", table.Len(), len(reference))
		}
		for ref, want := range reference {
			if got, found := table.Get(ref); !found || got != want {
				t.Fatalf("%s: got %+v, want %+v", ref, got, want)
			}
		}
		if _, found := table.Get(catalogue.Ref{Adapter: "absent", Version: "1"}); found {
			t.Fatal("found an absent version")
		}
	})
}

func numbered(i int) catalogue.Adapter {
	ref := catalogue.Ref{Adapter: fmt.Sprintf("rehearsal-plan-%06d", i), Version: "1"}
	return catalogue.Adapter{Ref: ref, BaseModel: fmt.Sprint("base-", i%5), Source: "store://adapters/" + ref.String()}
}

// BenchmarkMemory compares the memory per adapter of the table and of a plain map.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{3_000, 130_000} {
		b.Run(fmt.Sprintf("table/%d", n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(liveheap.Of(func() any {
					table := catalogue.NewTable()
					for i := range n {
						table.Put(numbered(i))
					}
					return table
				})/float64(n), "B/adapter")
			}
		})
		b.Run(fmt.Sprintf("map/%d", n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(liveheap.Of(func() any {
					all := make(map[catalogue.Ref]catalogue.Adapter)
					for i := range n {
						a := numbered(i)
						all[a.Ref] = a
					}
					return all
				})/float64(n), "B/adapter")
			}
		})
	}
}

func BenchmarkGet(b *testing.B) {
	table := catalogue.NewTable()
	for i := range 130_000 {
		table.Put(numbered(i))
	}
	for i := 0; b.Loop(); i++ {
		table.Get(numbered(7).Ref)
	}
}
