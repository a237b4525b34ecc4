package suspicion

import (
	"fmt"
	"math/rand/v2"
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
		"one after the other's run":                     {150 * time.Millisecond, true, Refuse},
		"at the same moment, at entries that know more": {0, false, Refuse},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := NewStrikes(), partsStart
			for i := range partStrikeLimit + 2 {
				now = now.Add(test.gap)
				s.Add(Strike{Fingerprint: rarePart, Part: partID(rarePart), Request: uint64(firstPlain + i), Server: fmt.Sprint("v", i), RunMillis: 100, Unsure: test.unsure}, now)
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

// Sizes of the load that TestFatalPartAmongSoundPrompts plays, beside those of the load of requests.
const (
	partCallers = 216
	// knownParts are the parts that sound prompts share, the first of them all.
	knownParts = 12
	// fatalEvery is the pause between two prompts with the fatal part.
	fatalEvery = 100 * time.Millisecond
	// provedAfter is the output of a run that proves its parts sound.
	provedAfter = firstOutput + BeginTime + loadStep
)

// promptRun is one run of a prompt.
type promptRun struct {
	request     Request
	server      int
	began, ends time.Time
	fatal       bool
	proved      bool
}

// promptLoad is a fleet whose callers send prompts that share parts.
type promptLoad struct {
	random  *rand.Rand
	strikes *Strikes
	servers [loadServers]loadServer
	runs    []*promptRun
	next    uint64
	// learned are the news that reach the entries later.
	learned []heldNews
	crashes int
	refused int
}

type heldNews struct {
	at   time.Time
	tell func(now time.Time)
}

func newPromptLoad(seed uint64) *promptLoad {
	return &promptLoad{random: rand.New(rand.NewPCG(seed, 2)), strikes: NewStrikes(), next: 1 << 32}
}

// play sends prompts for loadDuration: as many sound ones as there are callers, one with the fatal part
// after each pause, and ends servers by themselves after each other one; 0 for none.
func (l *promptLoad) play(fatal, ownEnds time.Duration, together int) {
	nextFatal, nextEnd := partsStart.Add(2*time.Second), partsStart.Add(time.Second)
	for now := partsStart; now.Before(partsStart.Add(loadDuration)); now = now.Add(loadStep) {
		for len(l.learned) > 0 && !now.Before(l.learned[0].at) {
			l.learned[0].tell(now)
			l.learned = l.learned[1:]
		}
		if fatal > 0 && !now.Before(nextFatal) {
			nextFatal = nextFatal.Add(fatal)
			l.send(now, true, firstPlain, fatalPart)
		}
		if ownEnds > 0 && !now.Before(nextEnd) {
			nextEnd = nextEnd.Add(ownEnds)
			for range together {
				l.end(l.random.IntN(loadServers), now)
			}
		}
		for _, r := range l.runs {
			l.step(r, now)
		}
		left := l.runs[:0]
		for _, r := range l.runs {
			if r != nil && !r.began.IsZero() {
				left = append(left, r)
			}
		}
		l.runs = left
		for len(l.runs) < partCallers {
			before := len(l.runs)
			l.send(now, false, firstPlain, firstPlain+1+l.random.Uint64N(knownParts))
			if len(l.runs) == before {
				break
			}
		}
	}
}

func (l *promptLoad) send(now time.Time, fatal bool, parts ...uint64) {
	l.next++
	request := requestWith(l.next, parts...)
	switch l.strikes.Decide(request, testGrace, now).Verdict {
	case RunAlone:
		for _, trial := range l.strikes.BeginTrials(request, "e1", testGrace, now) {
			l.strikes.Add(trial, now)
		}
	case Run:
	default:
		if !fatal {
			l.refused++
		}
		return
	}
	server := l.random.IntN(loadServers)
	if now.Before(l.servers[server].upAt) {
		return
	}
	r := &promptRun{request: request, server: server, began: now, ends: now.Add(shortestRun + time.Duration(l.random.Int64N(int64(runSpread)))), fatal: fatal}
	if fatal {
		r.ends = now.Add(crashAfter)
	}
	l.runs = append(l.runs, r)
}

// step lets a run go on.
func (l *promptLoad) step(r *promptRun, now time.Time) {
	if r.began.IsZero() {
		return
	}
	if !r.proved && !r.fatal && now.Sub(r.began) >= provedAfter {
		r.proved = true
		l.learned = append(l.learned, heldNews{at: now.Add(strikeDelay), tell: func(now time.Time) {
			for _, part := range r.request.Parts {
				prove(l.strikes, now, part.Fingerprint)
			}
		}})
	}
	switch {
	case now.Before(r.ends):
	case r.fatal:
		l.crashes++
		l.end(r.server, now)
	default:
		r.began = time.Time{}
	}
}

// end ends a server and breaks all its runs.
func (l *promptLoad) end(server int, now time.Time) {
	if now.Before(l.servers[server].upAt) {
		return
	}
	id := fmt.Sprintf("%d.%d", server, l.servers[server].incarnation)
	l.servers[server] = loadServer{incarnation: l.servers[server].incarnation + 1, upAt: now.Add(loadDowntime)}
	for _, r := range l.runs {
		if r.server != server || r.began.IsZero() {
			continue
		}
		ran, began := now.Sub(r.began), now.Sub(r.began)-firstOutput <= BeginTime
		r.began = time.Time{}
		if began {
			l.learned = append(l.learned, heldNews{at: now.Add(strikeDelay), tell: func(now time.Time) { endUnder(l.strikes, id, ran, now, r.request) }})
		}
	}
}

// Guards against a fatal part that ends many servers, and against sound prompts that are refused for it or for servers that end by themselves.
func TestFatalPartAmongSoundPrompts(t *testing.T) {
	for name, test := range map[string]struct {
		fatal, ownEnds time.Duration
		together       int
		// most is the number of servers that may end under the part.
		most int
	}{
		"a fatal part": {fatalEvery, 0, 0, partStrikeLimit + 2},
		"a fatal part, servers that end by themselves": {fatalEvery, 400 * time.Millisecond, 1, partStrikeLimit + 3},
		"servers that end by themselves":               {0, 200 * time.Millisecond, 1, 0},
		"six servers that end together, three times":   {0, 3 * time.Second, 6, 0},
		"all servers end together, twice":              {0, 5 * time.Second, 100, 0},
	} {
		t.Run(name, func(t *testing.T) {
			crashes, refused := 0, 0
			for seed := range uint64(loadSeeds) {
				l := newPromptLoad(seed)
				l.play(test.fatal, test.ownEnds, test.together)
				if l.crashes > test.most {
					t.Errorf("seed %d: %d servers ended under the part, want %d at most", seed, l.crashes, test.most)
				}
				crashes, refused = crashes+l.crashes, refused+l.refused
			}
			if refused > 0 {
				t.Errorf("%d sound prompts were refused", refused)
			}
			t.Logf("%d servers ended under the part and %d sound prompts were refused in %d plays", crashes, refused, loadSeeds)
		})
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

// BenchmarkSoundPrompt measures what a sound prompt with three shared parts pays: two decisions and its
// proof, in a table without ends and in one with many.
func BenchmarkSoundPrompt(b *testing.B) {
	for name, test := range map[string]struct{ ends, parts uint64 }{"no parts": {0, 0}, "three parts": {0, 3}, "three parts, 3000 suspects": {1000, 3}} {
		b.Run(name, func(b *testing.B) {
			s, now := NewStrikes(), partsStart
			for i := range test.ends {
				endUnder(s, fmt.Sprint("v", i%60), 0, now, requestWith(1<<40+i, 1<<41+i, 1<<42+i))
			}
			var parts []uint64
			for i := range test.parts {
				parts = append(parts, firstPlain+i)
			}
			request := requestWith(firstPlain-1, parts...)
			for b.Loop() {
				if s.Decide(request, testGrace, now).Verdict != Run || s.Decide(request, testGrace, now).Verdict != Run {
					b.Fatal("the prompt may not run")
				}
				s.RecordAnswer(request.Fingerprint, now)
				for _, part := range request.Parts {
					s.RecordAnswer(part.Fingerprint, now)
				}
			}
		})
	}
}
