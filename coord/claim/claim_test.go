package claim_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"reflect"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/rosemarypass/rosemarypass/coord/claim"
	"github.com/rosemarypass/rosemarypass/coord/internal/liveheap"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// timedKey returns a version 7 UUID with the given timestamp.
func timedKey(at time.Time, n byte) string {
	var id uuid.UUID
	var millis [8]byte
	binary.BigEndian.PutUint64(millis[:], uint64(at.UnixMilli()))
	copy(id[:6], millis[2:])
	id[6], id[8], id[15] = 0x70, 0x80, n
	return id.String()
}

// reference is a table that keeps every claim forever and has no limits.
type reference map[string]*referenceClaim

type referenceClaim struct {
	fingerprint []byte
	token       string
	released    string
	running     bool
	finished    bool
}

func (r reference) begin(key string, b claim.Begin) bool {
	c := r[key]
	if c == nil {
		c = &referenceClaim{}
		r[key] = c
	}
	if c.finished || c.fingerprint != nil && !bytes.Equal(c.fingerprint, b.Fingerprint) || b.Token == c.released {
		return false
	}
	if c.running {
		return c.token == b.Token
	}
	c.running, c.token, c.fingerprint = true, b.Token, b.Fingerprint
	return true
}

func (r reference) finish(key, token string) {
	if c := r[key]; c != nil && c.running && c.token == token {
		c.finished = true
	}
}

func (r reference) release(key, token string) {
	c := r[key]
	if c == nil {
		r[key] = &referenceClaim{released: token}
		return
	}
	if c.running && !c.finished && c.token == token {
		c.running, c.released = false, token
	}
}

// Keys are retried hours or days later, after their answers were dropped, on
// instances that were restored from a snapshot. A table with limits must never
// grant an attempt that the unlimited reference table refuses.
func TestExpiryNeverGrantsExtraAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, model, now := claim.NewTable(claim.DefaultOptions), reference{}, start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 10, 1000, 2000}).Draw(t, "minutes")) * time.Minute)
			if now.Sub(start) > claim.TombstoneAge {
				return
			}
			key := fmt.Sprintf("plain-%d", rapid.IntRange(0, 2).Draw(t, "key"))
			if rapid.Bool().Draw(t, "timed") {
				key = timedKey(start.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "hour"))*time.Hour), 1)
			}
			id := claim.ID{Contract: "c", Key: key}
			token := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "token"))
			switch rapid.IntRange(0, 4).Draw(t, "command") {
			case 0, 1:
				b := claim.Begin{Token: token, Fingerprint: []byte{byte(rapid.IntRange(0, 1).Draw(t, "body"))}}
				got := table.Apply(claim.Command{ID: id, Begin: &b}, now)
				refusedByAge := got.Verdict == claim.TooOld || got.Verdict == claim.BadKey
				if refusedByAge {
					continue
				}
				if want := model.begin(key, b); (got.Verdict == claim.Granted) != want {
					t.Fatalf("%s: verdict %s, reference grants: %v", key, got.Verdict, want)
				}
			case 2:
				model.finish(key, token)
				table.Apply(claim.Command{ID: id, Finish: &claim.Finish{Token: token, Answer: claim.Answer{Status: 200, Kept: true, Body: []byte(token)}}}, now)
			case 3:
				if got := table.Apply(claim.Command{ID: id, Release: &claim.Release{Token: token}}, now); got.State != claim.Expired && got.Verdict != claim.BadKey && got.Verdict != claim.TooOld {
					model.release(key, token)
				}
			case 4:
				all, tombstones := table.All(), table.Tombstones()
				table = claim.NewTable(claim.DefaultOptions)
				table.Restore(all, tombstones)
				if !reflect.DeepEqual(all, table.All()) || !reflect.DeepEqual(tombstones, table.Tombstones()) {
					t.Fatal("restored table has different claims")
				}
			}
		}
	})
}

// A client that was offline sends a queued call days later. The call has already
// run and its claim has expired; it must not run again.
func TestLateRetryOfExpiredKeyDoesNotRun(t *testing.T) {
	for _, key := range []string{"plain", timedKey(start, 1)} {
		table := claim.NewTable(claim.DefaultOptions)
		id := claim.ID{Contract: "c", Key: key}
		begin := func(token string, at time.Time) claim.Verdict {
			return table.Apply(claim.Command{ID: id, Begin: &claim.Begin{Token: token, Fingerprint: []byte{1}}}, at).Verdict
		}
		if got := begin("1", start); got != claim.Granted {
			t.Fatalf("%s: first attempt: %s, want Granted", key, got)
		}
		table.Apply(claim.Command{ID: id, Finish: &claim.Finish{Token: "1", Answer: claim.Answer{Status: 200, Kept: true}}}, start)
		steps := []struct {
			at   time.Duration
			want claim.Verdict
		}{{claim.Age - time.Millisecond, claim.Replay}, {claim.Age, claim.TooOld}, {claim.TombstoneAge - time.Millisecond, claim.TooOld}}
		for _, step := range steps {
			if got := begin("2", start.Add(step.at)); got != step.want {
				t.Errorf("%s after %s: %s, want %s", key, step.at, got, step.want)
			}
		}
	}
	table := claim.NewTable(claim.DefaultOptions)
	late := claim.Command{ID: claim.ID{Contract: "c", Key: timedKey(start, 2)}, Begin: &claim.Begin{Token: "1"}}
	if got := table.Apply(late, start.Add(400*24*time.Hour)); got.Verdict != claim.TooOld {
		t.Errorf("key of last year without a record: %s, want TooOld", got.Verdict)
	}
}

func TestLimitsRefuseInsteadOfEvicting(t *testing.T) {
	table := claim.NewTable(claim.Options{Claims: 1, Tombstones: 1, AnswerBytes: 10})
	apply := func(key string, c claim.Command) claim.Reply {
		c.ID = claim.ID{Contract: "c", Key: key}
		return table.Apply(c, start)
	}
	begin := claim.Command{Begin: &claim.Begin{Token: "1", Fingerprint: []byte{1}}}
	apply("a", begin)
	if got := apply("b", begin); got.Verdict != claim.Full {
		t.Errorf("second claim: %s, want Full", got.Verdict)
	}
	apply("a", claim.Command{Finish: &claim.Finish{Token: "1", Answer: claim.Answer{Status: 200, Kept: true, Body: make([]byte, 11)}}})
	if got := apply("a", begin); got.Verdict != claim.Replay || got.Answer.Kept || got.Answer.Status != 200 {
		t.Errorf("answer above the size limit: %+v, want a replay of its status only", got)
	}
}

// The tombstone table is full. Dropping a tombstone early would let a late retry
// run, so new keys are refused, except those with a timestamp, which need no
// tombstone.
func TestFullTombstonesRefuseOnlyUntimedKeys(t *testing.T) {
	table := claim.NewTable(claim.Options{Claims: 10, Tombstones: 1, AnswerBytes: 10})
	begin := func(key string, at time.Time) claim.Verdict {
		return table.Apply(claim.Command{ID: claim.ID{Contract: "c", Key: key}, Begin: &claim.Begin{Token: "1", Fingerprint: []byte{1}}}, at).Verdict
	}
	steps := []struct {
		key  string
		at   time.Duration
		want claim.Verdict
	}{
		{"a", 0, claim.Granted}, {"b", 0, claim.Full}, {timedKey(start, 1), 0, claim.Granted},
		{"b", claim.Age, claim.Full}, {"a", claim.Age, claim.TooOld}, {timedKey(start.Add(claim.Age), 2), claim.Age, claim.Granted},
		{"b", claim.TombstoneAge, claim.Granted},
	}
	for i, step := range steps {
		if got := begin(step.key, start.Add(step.at)); got != step.want {
			t.Errorf("step %d: %s, want %s", i, got, step.want)
		}
	}
}

// BenchmarkMemory measures the memory per retained key in bytes.
func BenchmarkMemory(b *testing.B) {
	const keys = 200_000
	for name, at := range map[string]time.Duration{"claim": 0, "tombstone": claim.Age} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				before := liveheap.Bytes()
				table := claim.NewTable(claim.DefaultOptions)
				for i := range keys {
					id := claim.ID{Contract: "cascade", Key: fmt.Sprintf("pallet-release-%012d", i)}
					table.Apply(claim.Command{ID: id, Begin: &claim.Begin{Token: uuid.NewString(), Fingerprint: make([]byte, 32)}}, start)
				}
				table.Apply(claim.Command{Look: &claim.Look{}}, start.Add(at))
				b.ReportMetric((liveheap.Bytes()-before)/keys, "B/key")
				runtime.KeepAlive(table)
			}
		})
	}
}

func BenchmarkBeginAndFinish(b *testing.B) {
	table := claim.NewTable(claim.DefaultOptions)
	answer := claim.Answer{Status: 200, Kept: true, Body: make([]byte, 100)}
	for i := range b.N {
		id := claim.ID{Contract: "c", Key: fmt.Sprint(i % 400_000)}
		at := start.Add(time.Duration(i) * time.Second)
		table.Apply(claim.Command{ID: id, Begin: &claim.Begin{Token: "1", Fingerprint: []byte{1}}}, at)
		table.Apply(claim.Command{ID: id, Finish: &claim.Finish{Token: "1", Answer: answer}}, at)
	}
}
