package streamversion

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000, 0)

func record(attempt, version string) Record {
	return Record{Stream: Of(attempt), Service: "llm", Version: version, LeftMillis: 30_000}
}

// Guards against a stream that goes on at a version that may not have begun it, and against refusing one whose version is known or cannot differ.
func TestDecide(t *testing.T) {
	known, uncertain := record("a", "v1"), record("a", "")
	for _, test := range []struct {
		name string
		q    Question
		want Decision
	}{
		{"known", Question{Service: "llm", Found: true, Record: known, Versions: []string{"v1", "v2"}}, Decision{Verdict: OneVersion, Version: "v1"}},
		{"known, no server of it heard", Question{Service: "llm", Found: true, Record: known, Versions: []string{"v2"}, Complete: true}, Decision{Verdict: OneVersion, Version: "v1"}},
		{"known at another service", Question{Service: "desk", Found: true, Record: known, Complete: true}, Decision{Reason: ReasonOtherService}},
		{"uncertain, several versions", Question{Service: "llm", Found: true, Record: uncertain, Versions: []string{"v1", "v2"}, Complete: true}, Decision{Reason: ReasonUncertain}},
		{"uncertain, one version", Question{Service: "llm", Found: true, Record: uncertain, Versions: []string{"v1"}, Complete: true}, Decision{Verdict: AnyServer}},
		{"unknown, several versions", Question{Service: "llm", Versions: []string{"v1", "v2"}, Complete: true}, Decision{Reason: ReasonUnknown}},
		{"unknown, one of them tells none", Question{Service: "llm", Versions: []string{"", "v1"}, Complete: true}, Decision{Reason: ReasonUnknown}},
		{"unknown, one version", Question{Service: "llm", Versions: []string{"v1"}, Complete: true}, Decision{Verdict: AnyServer}},
		{"unknown, one version, others may be missing", Question{Service: "llm", Versions: []string{"v1"}}, Decision{Reason: ReasonIncomplete}},
		{"unknown, no server tells a version", Question{Service: "llm", Versions: []string{""}}, Decision{Verdict: AnyServer}},
		{"unknown, holders do not answer", Question{Service: "llm", Versions: []string{"v1", "v2"}, Complete: true, Unreached: true}, Decision{Reason: ReasonUnreached}},
		{"unknown, one version, holders do not answer", Question{Service: "llm", Versions: []string{"v1"}, Complete: true, Unreached: true}, Decision{Verdict: AnyServer}},
		{"unknown, several versions, of which one was the only one before", Question{Service: "llm", Versions: []string{"v1", "v2"}, Complete: true, Only: "v1"}, Decision{Verdict: OneVersion, Version: "v1"}},
		{"the same, holders do not answer", Question{Service: "llm", Versions: []string{"v1", "v2"}, Complete: true, Only: "v1", Unreached: true}, Decision{Reason: ReasonUnreached}},
		{"known, another one was the only one before", Question{Service: "llm", Found: true, Record: known, Versions: []string{"v1", "v2"}, Only: "v2"}, Decision{Verdict: OneVersion, Version: "v1"}},
		{"uncertain, one was the only one before", Question{Service: "llm", Found: true, Record: uncertain, Versions: []string{"v1", "v2"}, Only: "v1"}, Decision{Reason: ReasonUncertain}},
		{"unknown, nothing heard yet", Question{Service: "llm"}, Decision{Reason: ReasonIncomplete}},
	} {
		if got := Decide(test.q); got != test.want {
			t.Errorf("%s: decided %+v, want %+v", test.name, got, test.want)
		}
	}
}

// Guards against an ID that is no name of an attempt but passes for one.
func TestMalformedAttemptIsNoStream(t *testing.T) {
	for _, attempt := range []string{"", strings.Repeat("a", MaxAttemptLength+1)} {
		if got := Of(attempt); got != 0 {
			t.Errorf("an attempt of %d bytes is stream %d, want none", len(attempt), got)
		}
	}
	table := NewTable(4)
	table.Put(Record{Version: "v1", LeftMillis: 1000}, false, start)
	if _, found := table.Get(0, start); found {
		t.Error("no stream has a record")
	}
}

// Guards against a stream that counts as begun by the incarnation that was announced before, and against refusing one whose server restarted after it.
func TestOriginRestarted(t *testing.T) {
	origin := Origin{Server: "s", Born: 1_000, AtMillis: 5_000}
	for _, test := range []struct {
		name   string
		origin Origin
		born   int64
		want   bool
	}{
		{"the same start", origin, 1_000, false},
		{"a start before the event", origin, 4_900, true},
		{"a start with the event", origin, 5_000, true},
		{"a start after the event", origin, 5_001, false},
		{"an earlier incarnation, heard late", origin, 900, false},
		{"no server known", Origin{}, 0, false},
	} {
		if got := test.origin.Restarted(test.born); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against a record that other processes and the disk hold without its origin, and against one of an earlier release that cannot be read.
func TestOriginIsKept(t *testing.T) {
	r := record("a", "v1")
	r.Origin = Origin{Server: "s", Born: 1, AtMillis: 2}
	table := NewTable(4)
	table.Put(r, false, start)
	kept, _ := table.Get(r.Stream, start)
	data, err := json.Marshal(kept)
	if err != nil {
		t.Fatal(err)
	}
	var read Record
	if err := json.Unmarshal(data, &read); err != nil || read != r {
		t.Errorf("read back %+v, %v, want %+v", read, err, r)
	}
	if err := json.Unmarshal([]byte(`{"stream":7,"service":"llm","version":"v1","left":1000}`), &read); err != nil || read.Version != "v1" {
		t.Errorf("a record without an origin is read as %+v, %v", read, err)
	}
}

// Guards against two reports of one stream that differ, of which one would be believed.
func TestContradictionLeavesVersionUncertain(t *testing.T) {
	table := NewTable(4)
	table.Put(record("a", "v1"), false, start)
	table.Put(record("a", "v1"), false, start)
	if got, _ := table.Get(Of("a"), start); got.Version != "v1" {
		t.Errorf("version %q after two equal records, want v1", got.Version)
	}
	table.Put(record("a", "v2"), false, start)
	table.Put(record("a", "v1"), false, start)
	if got, found := table.Get(Of("a"), start); !found || got.Version != "" {
		t.Errorf("found %v, version %q after records that differ, want an uncertain one", found, got.Version)
	}
}

// Guards against streams that are never told because one process already had them told at another version.
func TestUntoldListsOwnStreamsOnce(t *testing.T) {
	table := NewTable(8)
	table.Put(record("own", "v1"), true, start)
	table.Put(record("held", "v1"), false, start)
	all := func(string) bool { return true }
	untold := table.Untold(start, all)
	if len(untold) != 1 || untold[0].Stream != Of("own") {
		t.Fatalf("untold are %v, want the own stream", untold)
	}
	table.Told(untold[0])
	if got := table.Untold(start, all); len(got) != 0 {
		t.Errorf("untold are %v after all were told", got)
	}
	table.Put(record("own", ""), true, start)
	if got := table.Untold(start, all); len(got) != 1 || got[0].Version != "" {
		t.Errorf("untold are %v, want the stream whose version became uncertain", got)
	}
	if got := table.Untold(start, func(string) bool { return false }); len(got) != 0 {
		t.Errorf("untold are %v of services that do not want it", got)
	}
}

// A naive list of all puts agrees with the table on the streams of the last ones, and the table stays within its limit.
func TestTableAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 8
		type put struct {
			Record
			until time.Time
		}
		table, now, puts := NewTable(size), start, []put{}
		// naive merges all puts of a stream that were known when the next one came.
		naive := func(stream Stream) (version string, until time.Time) {
			for _, p := range puts {
				if p.Stream != stream {
					continue
				}
				at := p.until.Add(-p.Left())
				if until.After(at) && version != p.Version {
					version = ""
				} else {
					version = p.Version
				}
				until = later(until, p.until)
			}
			return version, until
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			r := Record{Stream: Stream(rapid.IntRange(1, size).Draw(t, "stream")), Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"), LeftMillis: int64(rapid.IntRange(1, 9000).Draw(t, "left"))}
			table.Put(r, false, now)
			puts = append(puts, put{r, now.Add(r.Left())})
			if got := len(table.order); got > size {
				t.Fatalf("the table holds %d records, at most %d may be", got, size)
			}
			// A contradiction is known for as long as the last records are.
			last, lastUntil := naive(r.Stream)
			got, found := table.Get(r.Stream, now)
			if !found || last != "" && got.Version != last || got.LeftMillis > lastUntil.Sub(now).Milliseconds() {
				t.Fatalf("after the put of %+v: found %v, %+v, want version %q for %v", r, found, got, last, lastUntil.Sub(now))
			}
		}
	})
}

// Guards against a version that is forgotten while streams that began at it may be taken up: its servers restarted as another version under their IDs.
func TestReplacedVersionIsRemembered(t *testing.T) {
	seen := NewSeen()
	if seen.Heard("llm", "v1", start) {
		t.Error("one version counts as several")
	}
	now := start.Add(30 * time.Second)
	if !seen.Heard("llm", "v2", now) {
		t.Error("a second version is not noticed")
	}
	if seen.Heard("llm", "v2", now.Add(time.Second)) {
		t.Error("the same version counts as new")
	}
	if !seen.Several("llm", start.Add(Retention-time.Second)) {
		t.Error("the first version is forgotten too early")
	}
	if got := seen.Of("llm", start.Add(Retention)); !slices.Equal(got, []string{"v2"}) {
		t.Errorf("versions %v after the retention, want v2", got)
	}
	if got := seen.Of("desk", now); len(got) != 0 {
		t.Errorf("versions %v of another service", got)
	}
}

// Guards against announcements with made-up versions that fill the memory.
func TestVersionsAreBounded(t *testing.T) {
	seen := NewSeen()
	for i := range 10 * maxVersions {
		seen.Heard("llm", fmt.Sprint("v", i), start.Add(time.Duration(i)*time.Millisecond))
	}
	if got := len(seen.services["llm"]); got > maxVersions {
		t.Errorf("%d versions are held, at most %d may be", got, maxVersions)
	}
	if !seen.Several("llm", start.Add(time.Second)) {
		t.Error("several versions count as one")
	}
	for i := range 100 {
		seen.Heard(fmt.Sprint("made-up", i), "v1", start.Add(time.Duration(i)*time.Second))
	}
	if got, limit := len(seen.services), int(Retention/time.Second)+1; got > limit {
		t.Errorf("%d services are held, at most %d were heard within the retention", got, limit)
	}
}

func nodes(n int) []Node {
	var list []Node
	for i := range n {
		list = append(list, Node{Address: fmt.Sprintf("10.0.%d.%d", i%4, i), Disk: i < min(9, n/2)})
	}
	return list
}

// Guards against records that no entry finds once the one that began the stream and others are dead.
func TestHoldersOutliveLosses(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, size := range []int{5, 8, 40, 370} {
		all := nodes(size)
		for range 500 {
			stream := Stream(random.Uint64())
			began := random.IntN(size)
			others := slices.Delete(slices.Clone(all), began, began+1)
			random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
			told := Told(stream, others)
			if len(told) != Copies || !told[0].Disk {
				t.Fatalf("stream %d is told to %v, want %d processes and one with a disk first", stream, told, Copies)
			}
			// The entry that asks still knows the one that began the stream, and is not among its own peers.
			asking := random.IntN(len(others))
			if slices.Contains(told, others[asking]) {
				continue
			}
			asked := Asked(stream, append(slices.Delete(slices.Clone(others), asking, asking+1), all[began]))
			for _, node := range told {
				if !slices.Contains(asked, node) {
					t.Errorf("stream %d is told to %v, of which %v is not among the asked %v", stream, told, node, asked)
				}
			}
		}
	}
}
