package suspicion

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

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
				for range 2 {
					if s.Decide(request, testGrace, now).Verdict != Run {
						b.Fatal("the prompt may not run")
					}
				}
				s.RecordAnswer(request.Fingerprint, now)
				for _, part := range request.Parts {
					s.RecordAnswer(part.Fingerprint, now)
				}
			}
		})
	}
}
