package suspicion

import (
	"strings"
	"testing"
	"time"
)

// A request crashes each server that runs it, and its caller keeps retrying it.
// After the third server it must not reach another one, because every other
// request on those servers fails with each crash.
func TestRequestIsRefusedAfterThreeCrashes(t *testing.T) {
	s, now := NewStrikes(), time.Unix(1000, 0)
	for i, server := range []string{"a", "b", "b", "c"} {
		if s.Refused(7, now) {
			t.Fatalf("the request is refused before strike %d", i)
		}
		if isNew := s.Add(Strike{Fingerprint: 7, Server: server}, now); isNew != (i != 2) {
			t.Errorf("strike %d counts as new: %v, want the opposite", i, isNew)
		}
	}
	if !s.Refused(7, now) || s.Refused(8, now) {
		t.Error("after crashes of three servers the request should be refused, and no other")
	}
	if s.Refused(7, now.Add(strikeLifetime)) {
		t.Error("the request is still refused after its strikes have expired")
	}
}

func TestStrikesAreBounded(t *testing.T) {
	s, now := NewStrikes(), time.Unix(1000, 0)
	for i := range uint64(2 * maxStrikeRecords) {
		s.Add(Strike{Fingerprint: i, Server: "a"}, now)
	}
	if len(s.records) > maxStrikeRecords {
		t.Errorf("%d requests are remembered, want at most maxStrikeRecords", len(s.records))
	}
	s.Add(Strike{Fingerprint: 1 << 40, Server: "a"}, now.Add(strikeLifetime))
	if len(s.records) != 1 {
		t.Errorf("%d requests are remembered after the others have expired, want 1", len(s.records))
	}
}

// Guards against a request that stays refused for ever, because processes that start later pass its strikes on as new.
func TestStrikePassedOnKeepsItsAge(t *testing.T) {
	first, now := NewStrikes(), time.Unix(1000, 0)
	for _, server := range []string{"a", "b", "c"} {
		first.Add(Strike{Fingerprint: 7, Server: server}, now)
	}
	second, later := NewStrikes(), now.Add(strikeLifetime-time.Second)
	passed, _ := first.Since(0, 10, later)
	for _, strike := range passed {
		second.Add(strike, later)
	}
	if !second.Refused(7, later) || second.Refused(7, now.Add(strikeLifetime)) {
		t.Error("want the request refused where its strikes are passed on, and as long as where they were recorded")
	}
	if expired, _ := first.Since(0, 10, now.Add(strikeLifetime)); len(expired) > 0 {
		t.Errorf("%d expired strikes are passed on", len(expired))
	}
}

func TestSinceListsEachStrikeOnce(t *testing.T) {
	s, now := NewStrikes(), time.Unix(1000, 0)
	for i := range uint64(10) {
		s.Add(Strike{Fingerprint: i % 4, Server: string(rune('a' + i))}, now)
	}
	var got []string
	cursor := uint64(0)
	for range 4 {
		var strikes []Strike
		strikes, cursor = s.Since(cursor, 3, now)
		for _, strike := range strikes {
			got = append(got, strike.Server)
		}
	}
	if strings.Join(got, "") != "abcdefghij" {
		t.Errorf("listed %q, want each strike once and in order", got)
	}
	if rest, _ := s.Since(cursor, 3, now); len(rest) > 0 {
		t.Errorf("%d more are listed after the last", len(rest))
	}
}

// Guards against refusing a request that was only there when servers crashed, and against sending on one that crashes them.
func TestRefusalWeighsWhenServersCrash(t *testing.T) {
	for name, test := range map[string]struct {
		// output is for how long each run gave output before its server crashed.
		output []time.Duration
		want   bool
	}{
		"three runs that had just begun":                                 {[]time.Duration{0, 0, 0}, true},
		"three runs shortly after their first output":                    {[]time.Duration{100 * time.Millisecond, 0, 400 * time.Millisecond}, true},
		"a run in its middle, and its caller's two repeats":              {[]time.Duration{4 * time.Second, 0, 0}, false},
		"three runs in their middle while servers crash one by one":      {[]time.Duration{time.Second, 3 * time.Second, 2 * time.Second}, false},
		"a run in its middle, and its caller's three repeats":            {[]time.Duration{4 * time.Second, 0, 0, 0}, false},
		"a run in its middle, and five that had just begun":              {[]time.Duration{4 * time.Second, 0, 0, 0, 0, 0}, true},
		"a request that crashes each server after two seconds of output": {[]time.Duration{2 * time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := NewStrikes(), time.Unix(1000, 0)
			for i, output := range test.output {
				s.Add(Strike{Fingerprint: 7, Server: string(rune('a' + i)), OutputMillis: output.Milliseconds()}, now)
			}
			if got := s.Refused(7, now); got != test.want {
				t.Errorf("refused: %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a strike that depends on which of two runs on one server is heard of first.
func TestEarlierRunOnSameServerCounts(t *testing.T) {
	early, late := Strike{Fingerprint: 7, Server: "a"}, Strike{Fingerprint: 7, Server: "a", OutputMillis: 5000}
	for _, order := range [][]Strike{{early, late}, {late, early}} {
		s, now := NewStrikes(), time.Unix(1000, 0)
		for _, strike := range order {
			s.Add(strike, now)
		}
		for _, server := range []string{"b", "c"} {
			s.Add(Strike{Fingerprint: 7, Server: server}, now)
		}
		if !s.Refused(7, now) {
			t.Errorf("the request is not refused after %+v and two more crashes", order)
		}
	}
}

// Guards against a request that crashes servers while the table is full of requests that were only there.
func TestFullTableStillRefuses(t *testing.T) {
	s, now := NewStrikes(), time.Unix(1000, 0)
	for i := range uint64(maxStrikeRecords) {
		s.Add(Strike{Fingerprint: 100 + i, Server: "a"}, now)
	}
	for _, server := range []string{"a", "b", "c"} {
		s.Add(Strike{Fingerprint: 7, Server: server}, now.Add(time.Second))
	}
	for i := range uint64(maxStrikeRecords) {
		s.Add(Strike{Fingerprint: 10000 + i, Server: "d"}, now.Add(2*time.Second))
	}
	if !s.Refused(7, now.Add(2*time.Second)) {
		t.Error("the request is not refused")
	}
	if len(s.records) > maxStrikeRecords {
		t.Errorf("%d requests are remembered, want at most maxStrikeRecords", len(s.records))
	}
}

// Guards against a request that is refused for one crash, because crashes that expired long ago are still on record.
func TestExpiredStrikesDoNotAddUp(t *testing.T) {
	s, now := NewStrikes(), time.Unix(1000, 0)
	for _, server := range []string{"a", "b", "c"} {
		s.Add(Strike{Fingerprint: 7, Server: server}, now)
	}
	later := now.Add(strikeLifetime)
	if !s.Add(Strike{Fingerprint: 7, Server: "d"}, later) {
		t.Error("the first strike after the others expired is not new, and no other entry is told")
	}
	if s.Refused(7, later) {
		t.Error("the request is refused for one crash")
	}
}

// Guards against refusing a request that was only there when another one crashed servers, and against excusing the other one.
func TestRequestAtAnothersCrashesIsNotRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		first, second               string
		firstRefused, secondRefused bool
	}{
		"the first was at more crashes":            {"abcd", "abc", true, false},
		"the second was at more crashes":           {"bcd", "abcd", false, true},
		"both were at the same crashes":            {"abc", "abc", true, true},
		"each was at a crash of its own":           {"abcd", "bcde", true, true},
		"the second went on to crash more servers": {"abcd", "abce", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewStrikes()
			for fingerprint, servers := range []string{test.first, test.second} {
				for _, server := range servers {
					s.Add(Strike{Fingerprint: uint64(fingerprint), Server: string(server)}, now)
				}
			}
			if first, second := s.Refused(0, now), s.Refused(1, now); first != test.firstRefused || second != test.secondRefused {
				t.Errorf("refused: %v and %v, want %v and %v", first, second, test.firstRefused, test.secondRefused)
			}
		})
	}
}

func TestStrikesOfOneRequestAreBounded(t *testing.T) {
	s, now := NewStrikes(), time.Unix(1000, 0)
	for i := range 2 * maxRequestStrikes {
		s.Add(Strike{Fingerprint: 7, Server: string(rune('a' + i))}, now)
	}
	if got := len(s.Of(7)); got != maxRequestStrikes {
		t.Errorf("%d servers of a request are remembered, want maxRequestStrikes", got)
	}
}

// Guards against strikes from before an answer that count when they are heard after it.
func TestStrikesFromBeforeAnswerDoNotCount(t *testing.T) {
	const fingerprint = 5
	now := time.Unix(1000, 0)
	s := NewStrikes()
	s.Add(Strike{Fingerprint: fingerprint, Server: "a"}, now)
	s.Add(Strike{Fingerprint: fingerprint, Server: "b"}, now)
	if !s.Answered(fingerprint, now.Add(time.Second)) || s.Answered(fingerprint, now.Add(2*time.Second)) {
		t.Error("an answer is new if and only if there were strikes")
	}
	later := now.Add(3 * time.Second)
	if s.Add(Strike{Fingerprint: fingerprint, Server: "c", AgeMillis: 2500}, later) {
		t.Error("a strike from before the answer counts")
	}
	s.Add(Strike{Fingerprint: fingerprint, Server: "d", AgeMillis: 1000}, later)
	// Another table learns of them in either order.
	all, _ := s.Since(0, 10, later)
	for _, order := range [][]int{{0, 1}, {1, 0}} {
		other := NewStrikes()
		other.Add(Strike{Fingerprint: fingerprint, Server: "a", AgeMillis: 3000}, later)
		for _, i := range order {
			other.Add(all[i], later)
		}
		if got := other.Of(fingerprint); len(got) != 1 || got[0].Server != "d" {
			t.Errorf("in the order %v: strikes %+v, want only that of d", order, got)
		}
	}
}
