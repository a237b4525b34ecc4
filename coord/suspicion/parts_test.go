package suspicion

import (
	"fmt"
	"testing"
	"time"
)

var partsStart = time.Unix(1000, 0)

// Fingerprints of the parts of these tests.
const (
	fatalPart   = 1
	popularPart = 2
	rarePart    = 3
	firstPlain  = 100
)

func partID(fingerprint uint64) string { return fmt.Sprintf("p%d", fingerprint) }

func requestWith(fingerprint uint64, parts ...uint64) Request {
	r := Request{Fingerprint: fingerprint}
	for _, part := range parts {
		r.Parts = append(r.Parts, Part{ID: partID(part), Fingerprint: part})
	}
	return r
}

// endUnder records that a server ended under runs that were sent the given time before.
func endUnder(s *Strikes, server string, ran time.Duration, now time.Time, requests ...Request) {
	for _, r := range requests {
		s.Add(Strike{Fingerprint: r.Fingerprint, Server: server}, now)
		for _, part := range r.Parts {
			s.Add(Strike{Fingerprint: part.Fingerprint, Part: part.ID, Request: r.Fingerprint, Server: server, RunMillis: ran.Milliseconds()}, now)
		}
	}
}

// prove records that a run showed the parts to be sound, as the entry that saw it does.
func prove(s *Strikes, now time.Time, parts ...uint64) {
	for _, part := range parts {
		s.RecordAnswer(part, now)
		if s.Suspected(part) {
			s.Add(Strike{Fingerprint: part, Part: partID(part), Answered: true}, now)
		}
	}
}

func verdictOn(s *Strikes, now time.Time, parts ...uint64) Verdict {
	return s.Decide(requestWith(firstPlain-1, parts...), testGrace, now).Verdict
}

// Guards against requests of which no two are alike that end server after server by a part of their prompts.
func TestPartIsRefusedAfterFourEnds(t *testing.T) {
	s, now := NewStrikes(), partsStart
	for i := range partStrikeLimit {
		if got := verdictOn(s, now, popularPart, fatalPart); got != Run {
			t.Fatalf("after %d ends: %s", i, got)
		}
		prove(s, now, popularPart)
		endUnder(s, fmt.Sprint("v", i), 100*time.Millisecond, now, requestWith(uint64(firstPlain+i), popularPart, fatalPart))
		now = now.Add(300 * time.Millisecond)
	}
	prove(s, now, popularPart)
	d := s.Decide(requestWith(firstPlain-1, popularPart, fatalPart), testGrace, now)
	if d.Verdict != Refuse || d.Part != partID(fatalPart) || verdictOn(s, now, popularPart) != Run {
		t.Errorf("decided %+v, and %s with the popular part alone", d, verdictOn(s, now, popularPart))
	}
	if got := s.OfRefused(now); len(got) != partStrikeLimit || got[0].Part != partID(fatalPart) {
		t.Errorf("on the disk are %+v, want the ends of the fatal part", got)
	}
}

// Guards against a part that is refused although something else, or nothing about it, explains the ends that it was at.
func TestPartIsNotRefused(t *testing.T) {
	const ran = 100 * time.Millisecond
	for name, play := range map[string]func(s *Strikes, end func(i int, requests ...Request) time.Time) time.Time{
		"a run proved it sound in between": func(s *Strikes, end func(int, ...Request) time.Time) time.Time {
			var now time.Time
			for i := range 6 {
				now = end(i, requestWith(uint64(firstPlain+i), rarePart))
				if i == 2 {
					prove(s, now, rarePart)
				}
			}
			prove(s, now, rarePart)
			return now
		},
		"one request brought it each time": func(_ *Strikes, end func(int, ...Request) time.Time) time.Time {
			var now time.Time
			for i := range 6 {
				now = end(i, requestWith(firstPlain, rarePart))
			}
			return now
		},
		"another part was there each time and once more": func(_ *Strikes, end func(int, ...Request) time.Time) time.Time {
			var now time.Time
			for i := range 5 {
				other := requestWith(uint64(firstPlain+i), fatalPart)
				if i == 0 {
					now = end(i, other)
					continue
				}
				now = end(i, other, requestWith(uint64(firstPlain+10+i), rarePart))
			}
			return now
		},
		"another part was at most of its ends, and was refused": func(_ *Strikes, end func(int, ...Request) time.Time) time.Time {
			end(0, requestWith(firstPlain, rarePart))
			for i := 1; i <= 4; i++ {
				end(i, requestWith(uint64(firstPlain+i), rarePart), requestWith(uint64(firstPlain+10+i), fatalPart))
			}
			end(5, requestWith(firstPlain+15, fatalPart))
			return end(6, requestWith(firstPlain+16, fatalPart))
		},
		"three ends, and three a long time later": func(_ *Strikes, end func(int, ...Request) time.Time) time.Time {
			var now time.Time
			for _, from := range []int{0, int(strikeLifetime/time.Second) + 2} {
				for i := from; i < from+partStrikeLimit-1; i++ {
					now = end(i, requestWith(uint64(firstPlain+i), rarePart))
				}
			}
			return now
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewStrikes()
			now := play(s, func(i int, requests ...Request) time.Time {
				now := partsStart.Add(time.Duration(i) * time.Second)
				endUnder(s, fmt.Sprint("v", i), ran, now, requests...)
				return now
			})
			if got := verdictOn(s, now, rarePart); got != Run {
				t.Errorf("a request with it is to %s", got)
			}
		})
	}
}

// Guards against popular parts that are refused because many servers end at the same moment, as a rack does.
func TestPopularPartOutlivesServersThatEndTogether(t *testing.T) {
	for name, test := range map[string]struct {
		gap  time.Duration
		want Verdict
	}{
		"all at the same moment":        {0, Run},
		"one after the other's run":     {150 * time.Millisecond, RunAlone},
		"each while the other's run is": {50 * time.Millisecond, Run},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := NewStrikes(), partsStart
			prove(s, now, popularPart)
			for i := range partStrikeLimit + 2 {
				now = now.Add(test.gap)
				endUnder(s, fmt.Sprint("v", i), 100*time.Millisecond, now, requestWith(uint64(firstPlain+i), popularPart))
			}
			if got := verdictOn(s, now, popularPart); got != test.want {
				t.Errorf("a request with it is to %s, want %s", got, test.want)
			}
		})
	}
}

// Guards against parts that are refused because many servers end together before their entries know which parts are popular.
func TestPartsAtEntriesThatHaveJustStartedOutliveServersThatEndTogether(t *testing.T) {
	for name, test := range map[string]struct {
		gap    time.Duration
		unsure bool
		want   Verdict
	}{
		"all at the same moment":                        {0, true, Run},
		"one after the other":                           {150 * time.Millisecond, true, Refuse},
		"at the same moment, at entries that know more": {0, false, Refuse},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := NewStrikes(), partsStart
			for i := range partStrikeLimit + 2 {
				now = now.Add(test.gap)
				s.Add(Strike{Fingerprint: rarePart, Part: partID(rarePart), Request: uint64(firstPlain + i), Server: fmt.Sprint("v", i), RunMillis: 1000, Unsure: test.unsure}, now)
			}
			if got := verdictOn(s, now, rarePart); got != test.want {
				t.Errorf("a request with it is to %s, want %s", got, test.want)
			}
		})
	}
}

// Guards against a fatal part that is excused by a popular one, which was at all of its ends and at more.
func TestPopularPartExcusesNoOther(t *testing.T) {
	s, now := NewStrikes(), partsStart
	prove(s, now, popularPart)
	for i := range partStrikeLimit + 2 {
		now = now.Add(300 * time.Millisecond)
		request := requestWith(uint64(firstPlain+i), popularPart, fatalPart)
		if i < 2 {
			request = requestWith(uint64(firstPlain+i), popularPart)
		}
		endUnder(s, fmt.Sprint("v", i), 100*time.Millisecond, now, request)
	}
	if got := verdictOn(s, now, popularPart, fatalPart); got != Refuse {
		t.Errorf("a request with both is to %s", got)
	}
	if got := verdictOn(s, now, popularPart); got != Run {
		t.Errorf("a request with the popular part is to %s", got)
	}
}

// Guards against a part that nobody can use again, because it was always beside the one that crashed servers.
func TestPartsOfTheSameEndsAreToldApart(t *testing.T) {
	for name, test := range map[string]struct {
		crashes                 bool
		companion, fatal, after Verdict
	}{
		"the request with one of them is answered":   {false, Run, Refuse, Run},
		"the request with one of them ends a server": {true, Refuse, Run, Refuse},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := NewStrikes(), partsStart
			for i := range partStrikeLimit {
				endUnder(s, fmt.Sprint("v", i), 0, now, requestWith(uint64(firstPlain+i), rarePart, fatalPart))
			}
			if got := verdictOn(s, now, rarePart, fatalPart); got != Refuse {
				t.Errorf("a request with both is to %s", got)
			}
			trial := requestWith(firstPlain+20, rarePart)
			trials := s.BeginTrials(trial, "e1", testGrace, now)
			if len(trials) != 1 || trials[0].Part != partID(rarePart) || !s.Add(trials[0], now) {
				t.Fatalf("trials %+v", trials)
			}
			if got := verdictOn(s, now, rarePart); got != Wait {
				t.Errorf("beside the trial another request is to %s", got)
			}
			if test.crashes {
				endUnder(s, "trial", 0, now, trial)
			} else {
				prove(s, now.Add(time.Millisecond), rarePart)
			}
			now = now.Add(10 * time.Millisecond)
			if got := verdictOn(s, now, rarePart); got != test.companion {
				t.Errorf("afterwards a request with it is to %s, want %s", got, test.companion)
			}
			if got := verdictOn(s, now, fatalPart); got != test.fatal {
				t.Errorf("one with the other part is to %s, want %s", got, test.fatal)
			}
		})
	}
}

// Guards against a part that is refused for ever, and against one that is tried so often that it ends one server after the other.
func TestRefusedPartIsTriedAtGrowingPauses(t *testing.T) {
	s, now := NewStrikes(), partsStart
	for i := range partStrikeLimit {
		endUnder(s, fmt.Sprint("v", i), 0, now, requestWith(uint64(firstPlain+i), fatalPart))
	}
	for i, pause := range []time.Duration{refusedPartPause, 4 * refusedPartPause, 16 * refusedPartPause} {
		if got := verdictOn(s, now.Add(pause-time.Millisecond), fatalPart); got != Refuse {
			t.Errorf("trial %d: shortly before, a request is to %s", i+1, got)
		}
		now = now.Add(pause)
		request := requestWith(uint64(firstPlain+20+i), fatalPart)
		trials := s.BeginTrials(request, "e1", testGrace, now)
		if len(trials) != 1 || !s.Add(trials[0], now) {
			t.Fatalf("trial %d: %+v", i+1, trials)
		}
		endUnder(s, fmt.Sprint("trial", i), 0, now, request)
	}
	if got := verdictOn(s, now.Add(strikeLifetime), fatalPart); got != Run {
		t.Errorf("long after its last end a request is to %s", got)
	}
}

// Guards against machines that end one after the other by their power, under a part of prompts.
func TestPartUnderWhichServersFellSilentRunsAlone(t *testing.T) {
	for name, test := range map[string]struct {
		proved bool
		want   Verdict
	}{
		"nothing speaks for it":      {false, RunAlone},
		"it was proved sound before": {true, Run},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := NewStrikes(), partsStart
			if test.proved {
				prove(s, now, rarePart)
			}
			for i := range partStrikeLimit {
				s.Add(Strike{Fingerprint: rarePart, Part: partID(rarePart), Server: fmt.Sprint("v", i), Silent: true}, now.Add(time.Second))
			}
			if got := verdictOn(s, now.Add(time.Second+testGrace), rarePart); got != test.want {
				t.Errorf("a request with it is to %s, want %s", got, test.want)
			}
		})
	}
}

// Guards against what one entry knows of a part that reaches others as something else.
func TestPartIsToldToOthers(t *testing.T) {
	first, second, now := NewStrikes(), NewStrikes(), partsStart
	prove(first, now, popularPart)
	for i := range partStrikeLimit {
		endUnder(first, fmt.Sprint("v", i), 0, now, requestWith(uint64(firstPlain+i), popularPart, fatalPart))
	}
	told, _ := first.Since(0, 1000, now)
	for _, strike := range told {
		second.Add(strike, now)
	}
	if got := verdictOn(second, now, fatalPart); got != Refuse {
		t.Errorf("at the other entry a request with the fatal part is to %s", got)
	}
	if got := verdictOn(second, now, popularPart); got != Run {
		t.Errorf("at the other entry a request with the popular part is to %s", got)
	}
}

// Guards against a table that grows with the parts that callers make up, and against a part that is forgotten for them.
func TestPartRecordsAreBounded(t *testing.T) {
	s, now := NewStrikes(), partsStart
	for i := range partStrikeLimit {
		endUnder(s, fmt.Sprint("v", i), 0, now, requestWith(uint64(firstPlain+i), fatalPart))
	}
	for i := range uint64(3 * maxStrikeRecords) {
		endUnder(s, fmt.Sprint("w", i%7), 0, now, requestWith(1<<40+i, 1<<41+i))
	}
	if len(s.records) > maxStrikeRecords {
		t.Errorf("%d records, want at most %d", len(s.records), maxStrikeRecords)
	}
	if got := verdictOn(s, now, fatalPart); got != Refuse {
		t.Errorf("a request with the fatal part is to %s", got)
	}
}

// Guards against an entry that has started and is not told what is refused, because so much else is suspected.
func TestRefusedPartIsToldFirst(t *testing.T) {
	s, now := NewStrikes(), partsStart
	for i := range uint64(400) {
		endUnder(s, "v", 0, now, requestWith(1<<40+i, 1<<41+i))
	}
	for i := range partStrikeLimit {
		endUnder(s, fmt.Sprint("w", i), 0, now, requestWith(uint64(firstPlain+i), fatalPart))
	}
	other := NewStrikes()
	for _, strike := range s.All(256, now) {
		other.Add(strike, now)
	}
	if got := verdictOn(other, now, fatalPart); got != Refuse {
		t.Errorf("at the entry that was told, a request with the part is to %s", got)
	}
}
