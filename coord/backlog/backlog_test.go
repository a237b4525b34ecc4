package backlog_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarypass/rosemarypass/coord/backlog"
)

var start = time.Unix(1_000_000, 0)

// naive is the table written without indexes or running totals.
type naive struct {
	limits  backlog.Limits
	streams map[backlog.ID]naiveStream
}

type naiveStream struct {
	team            string
	bytes, unqueued int64
	since, moved    time.Time
}

func (n *naive) sum(belongs func(naiveStream) bool) (sum int64) {
	for _, s := range n.streams {
		if belongs(s) {
			sum += s.bytes
		}
	}
	return sum
}

func (n *naive) cut(id backlog.ID, now time.Time) backlog.Held {
	s := n.streams[id]
	delete(n.streams, id)
	held := backlog.Held{ID: id, Team: s.team, Bytes: s.bytes}
	if s.bytes > 0 {
		held.Age = now.Sub(s.since)
	}
	return held
}

func (n *naive) cutHeaviest(now time.Time, belongs func(naiveStream) bool) backlog.Held {
	ids := slices.DeleteFunc(slices.Collect(maps.Keys(n.streams)), func(id backlog.ID) bool { return !belongs(n.streams[id]) })
	return n.cut(slices.MinFunc(ids, func(a, b backlog.ID) int {
		x, y := n.streams[a], n.streams[b]
		return cmp.Or(
			cmp.Compare(float64(y.bytes)*float64(now.Sub(y.since)), float64(x.bytes)*float64(now.Sub(x.since))),
			cmp.Compare(y.bytes, x.bytes), cmp.Compare(a, b))
	}), now)
}

func (n *naive) add(id backlog.ID, bytes int64, now time.Time) (cut []backlog.Held) {
	s := n.streams[id]
	if s.bytes == 0 {
		s.since, s.moved = now, now
	}
	s.bytes += bytes
	n.streams[id] = s
	ofTeam, ofAll := func(o naiveStream) bool { return o.team == s.team }, func(naiveStream) bool { return true }
	if s.bytes-s.unqueued > n.limits.Stream {
		cut = append(cut, n.cut(id, now))
	}
	for n.sum(ofTeam) > n.limits.Team {
		cut = append(cut, n.cutHeaviest(now, ofTeam))
	}
	for n.sum(ofAll) > n.limits.Total {
		cut = append(cut, n.cutHeaviest(now, ofAll))
	}
	return cut
}

// Guards against running totals or indexes that diverge from what the streams hold: a bound that is exceeded, a stream
// that is cut in place of a heavier one, or bytes that stay counted after their stream has ended.
func TestTableMatchesNaiveOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := backlog.Limits{
			Stream: rapid.Int64Range(1, 60).Draw(t, "stream"), Team: rapid.Int64Range(1, 120).Draw(t, "team"), Total: rapid.Int64Range(1, 300).Draw(t, "total"),
		}
		table, model := backlog.New(limits), &naive{limits: limits, streams: make(map[backlog.ID]naiveStream)}
		now, next := start, backlog.ID(0)
		pick := func() backlog.ID { return backlog.ID(rapid.Uint64Range(0, uint64(next)).Draw(t, "id")) }
		expect := func(what string, got, want []backlog.Held) {
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("%s: got %v, want %v", what, got, want)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				next++
				name, piece := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Int64Range(0, 70).Draw(t, "piece")
				model.streams[next] = naiveStream{team: name, unqueued: piece}
				expect("begin", table.Begin(next, name, piece, now), model.add(next, piece, now))
			},
			"add": func(t *rapid.T) {
				id, bytes := pick(), rapid.Int64Range(1, 40).Draw(t, "bytes")
				var want []backlog.Held
				if _, found := model.streams[id]; found {
					want = model.add(id, bytes, now)
				}
				expect("add", table.Add(id, bytes, now), want)
			},
			"taken": func(t *rapid.T) {
				id, bytes := pick(), rapid.Int64Range(1, 60).Draw(t, "bytes")
				table.Taken(id, bytes, now)
				if s, found := model.streams[id]; found {
					bytes = min(bytes, s.bytes)
					s.bytes, s.unqueued, s.moved = s.bytes-bytes, max(s.unqueued-bytes, 0), now
					model.streams[id] = s
				}
			},
			"moved": func(t *rapid.T) {
				id := pick()
				table.Moved(id, now)
				if s, found := model.streams[id]; found {
					s.moved = now
					model.streams[id] = s
				}
			},
			"stalled": func(t *rapid.T) {
				byID := func(a, b backlog.Held) int { return cmp.Compare(a.ID, b.ID) }
				var want []backlog.Held
				for id, s := range maps.Clone(model.streams) {
					if s.bytes > 0 && now.Sub(s.moved) >= 10*time.Second {
						want = append(want, model.cut(id, now))
					}
				}
				got := table.Stalled(now, 10*time.Second)
				slices.SortFunc(got, byID)
				slices.SortFunc(want, byID)
				expect("stalled", got, want)
			},
			"end": func(t *rapid.T) {
				id := pick()
				_, want := model.streams[id]
				held, ended := table.End(id, now)
				if ended != want || want && held != model.cut(id, now) {
					t.Fatalf("end: got %v, %v, want %v", held, ended, want)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if got, want := table.Total(), model.sum(func(naiveStream) bool { return true }); got != want || got > limits.Total {
					t.Fatalf("%d bytes are held, want %d, at most %d", got, want, limits.Total)
				}
				if table.Len() != len(model.streams) {
					t.Fatalf("%d streams, want %d", table.Len(), len(model.streams))
				}
			},
		})
	})
}

// Guards against a piece that was read before its caller was slow and is larger than a stream may queue: without a
// backlog the caller would get it.
func TestPieceBeingWrittenIsNotOverTheBoundOfItsStream(t *testing.T) {
	table := backlog.New(backlog.Limits{Stream: 100, Team: 1000, Total: 1000})
	if cut := table.Begin(1, "a", 500, start); len(cut) != 0 {
		t.Fatalf("cut %v, want none", cut)
	}
	if cut := table.Add(1, 100, start); len(cut) != 0 {
		t.Fatalf("cut %v, want none", cut)
	}
	if cut := table.Add(1, 1, start); len(cut) != 1 || cut[0].Bytes != 601 {
		t.Errorf("cut %v, want the stream with 601 bytes", cut)
	}
}

// Guards against the cut of a caller that has just become slow in place of one that has held as much for longer.
func TestLongerSlowStreamIsCutFirst(t *testing.T) {
	table := backlog.New(backlog.Limits{Stream: 100, Team: 1000, Total: 100})
	table.Begin(1, "a", 0, start)
	table.Add(1, 40, start)
	table.Begin(2, "b", 0, start)
	table.Add(2, 60, start.Add(9*time.Second))
	cut := table.Add(2, 1, start.Add(10*time.Second))
	if len(cut) != 1 || cut[0] != (backlog.Held{ID: 1, Team: "a", Bytes: 40, Age: 10 * time.Second}) {
		t.Errorf("cut %v, want stream 1", cut)
	}
}

// BenchmarkAddOverTotal measures a decision over the bound of all streams, which visits each of them.
func BenchmarkAddOverTotal(b *testing.B) {
	for _, streams := range []int{300, 3000} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			table := backlog.New(backlog.Limits{Stream: 1 << 40, Team: 1 << 40, Total: int64(streams) * 10})
			now, next := start, backlog.ID(0)
			begin := func() {
				next++
				table.Begin(next, fmt.Sprint("team", next%3000), 0, now)
				table.Add(next, 10, now)
			}
			for range streams {
				begin()
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				begin()
			}
		})
	}
}
