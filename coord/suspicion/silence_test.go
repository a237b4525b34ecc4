package suspicion

import (
	"fmt"
	"testing"
	"time"
)

const testGrace = time.Second

var silenceStart = time.Unix(1000, 0)

// addSilent records that a request was sent at the given time to servers that fell silent.
func addSilent(s *Strikes, fingerprint uint64, sentAt, now time.Time, servers ...string) {
	for _, server := range servers {
		s.Add(Strike{Fingerprint: fingerprint, Server: server, Silent: true, AgeMillis: now.Sub(sentAt).Milliseconds()}, now)
	}
}

// Guards against a request that ends machine after machine by their power, while its callers come back and nothing says that they ended.
func TestRequestUnderWhichServersFellSilentRunsAlone(t *testing.T) {
	s, now := NewStrikes(), silenceStart
	judge := func(want Verdict, least, most time.Duration) {
		t.Helper()
		got, wait := s.Judge(1, testGrace, now)
		if got != want || wait < least || wait > most {
			t.Errorf("after %s: %s and a wait of %s, want %s and %s to %s", now.Sub(silenceStart), got, wait, want, least, most)
		}
	}
	addSilent(s, 1, silenceStart, now, "a", "b")
	now = now.Add(2 * testGrace)
	judge(Run, 0, 0)
	addSilent(s, 1, now, now, "c")
	judge(Run, 0, 0)
	now = now.Add(testGrace)
	judge(RunAlone, 0, 0)
	for pause, server := firstTrialPause, 0; pause <= 4*firstTrialPause; pause *= 2 {
		trials := s.BeginTrials(Request{Fingerprint: 1}, "e1", testGrace, now)
		if len(trials) != 1 || !s.Add(trials[0], now) {
			t.Fatal("no trial begins")
		}
		judge(Wait, pause, pause)
		if again := s.BeginTrials(Request{Fingerprint: 1}, "e1", testGrace, now); len(again) > 0 {
			t.Error("two trials begin at once")
		}
		addSilent(s, 1, now, now, fmt.Sprint("trial", server))
		server++
		now = now.Add(pause - time.Millisecond)
		judge(Wait, time.Millisecond, time.Millisecond)
		now = now.Add(time.Millisecond)
		judge(RunAlone, 0, 0)
	}
	if s.Refused(1, now) {
		t.Error("doubts alone refuse the request")
	}
}

// Guards against an innocent request that waits for trials because servers were paused, cut off or slow, or ended by another one.
func TestDoubtsEnd(t *testing.T) {
	later := silenceStart.Add(2 * testGrace)
	for name, tell := range map[string]func(s *Strikes){
		"a server was heard":                func(s *Strikes) { s.Add(Strike{Server: "b", Heard: true}, later) },
		"the request was answered":          func(s *Strikes) { s.Add(Strike{Fingerprint: 1, Answered: true}, later) },
		"it was answered in the meantime":   func(s *Strikes) { s.Add(Strike{Fingerprint: 1, Answered: true, AgeMillis: 1900}, later) },
		"another one was there and at more": func(s *Strikes) { addSilent(s, 2, silenceStart, silenceStart, "a", "b", "c", "d") },
		"a server was silent before": func(s *Strikes) {
			addSilent(s, 2, silenceStart.Add(-BeginTime-time.Millisecond), silenceStart, "c")
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewStrikes()
			addSilent(s, 1, silenceStart, silenceStart, "a", "b", "c")
			if got, _ := s.Judge(1, testGrace, later); got != RunAlone {
				t.Fatalf("before: %s", got)
			}
			tell(s)
			if got, _ := s.Judge(1, testGrace, later); got != Run {
				t.Errorf("the request is to %s", got)
			}
		})
	}
}

// Guards against a request that waits for trials although no server fell silent under it, or only one after it had long given output.
func TestStrikesAloneBringNoTrial(t *testing.T) {
	s, now := NewStrikes(), silenceStart
	for _, server := range []string{"a", "b", "c"} {
		s.Add(Strike{Fingerprint: 1, Server: server, OutputMillis: 2 * BeginTime.Milliseconds()}, now)
	}
	if got, _ := s.Judge(1, testGrace, now); got != Run {
		t.Errorf("after three ends in its middle the request is to %s", got)
	}
	addSilent(s, 1, now, now, "d")
	if got, _ := s.Judge(1, testGrace, now.Add(testGrace)); got != Run {
		t.Errorf("after one silent server more the request is to %s", got)
	}
}

// Guards against doubts that come after what refutes them, from entries that were told later, and stay.
func TestRefutedDoubtIsNotTaken(t *testing.T) {
	s := NewStrikes()
	heard := silenceStart.Add(BeginTime + time.Millisecond)
	s.Add(Strike{Server: "a", Heard: true}, heard)
	s.Add(Strike{Fingerprint: 2, Answered: true}, heard)
	s.RecordAnswer(3, heard)
	addSilent(s, 1, silenceStart, heard, "a")
	addSilent(s, 2, silenceStart, heard, "b")
	if s.Suspected(1) || s.Suspected(2) {
		t.Error("a doubt that was refuted before counts")
	}
	if _, ok := s.AnsweredAfter(3, silenceStart); !ok {
		t.Error("an answer is not remembered")
	}
	if _, ok := s.AnsweredAfter(3, heard); ok {
		t.Error("an answer refutes what came after it")
	}
}

// Guards against doubts and trials of which other entries hear nothing.
func TestDoubtsAreToldToOthers(t *testing.T) {
	told, other := NewStrikes(), NewStrikes()
	addSilent(told, 1, silenceStart, silenceStart, "a", "b", "c")
	now := silenceStart.Add(testGrace)
	trial := told.BeginTrials(Request{Fingerprint: 1}, "e1", testGrace, now)[0]
	told.Add(trial, now)
	told.Add(Strike{Server: "x", Heard: true}, now)
	all, _ := told.Since(0, 100, now)
	for _, strike := range all {
		other.Add(strike, now)
	}
	later := now.Add(testGrace)
	if got, wait := other.Judge(1, testGrace, later); got != Wait || wait != firstTrialPause-testGrace {
		t.Errorf("another entry is to %s for %s", got, wait)
	}
	if !other.heardAfter("x", silenceStart) {
		t.Error("another entry does not know that a server was heard")
	}
}

// Guards against two copies of a request on trial, because two entries begin a trial before they hear of each other.
func TestOneEntryHasTheTrial(t *testing.T) {
	first, second := NewStrikes(), NewStrikes()
	now := silenceStart.Add(testGrace)
	for _, s := range []*Strikes{first, second} {
		addSilent(s, 1, silenceStart, silenceStart, "a", "b", "c")
	}
	one := first.BeginTrials(Request{Fingerprint: 1}, "e1", testGrace, now)[0]
	other := second.BeginTrials(Request{Fingerprint: 1}, "e2", testGrace, now)[0]
	first.Add(one, now)
	second.Add(other, now)
	if first.Add(other, now) || !second.Add(one, now) {
		t.Error("the trial of the higher address replaces the other")
	}
	if !first.HasTrial(1, "e1") || second.HasTrial(1, "e2") {
		t.Error("not exactly one entry has the trial")
	}
}

// Guards against news that entries tell each other again and again, because their age grows on the way.
func TestRepeatedNewsIsNotForwarded(t *testing.T) {
	s := NewStrikes()
	for i, want := range []bool{true, false} {
		at := silenceStart.Add(time.Duration(i) * time.Millisecond)
		if got := s.Add(Strike{Fingerprint: 1, Answered: true}, at); got != want {
			t.Errorf("answer %d is news: %t", i, got)
		}
		if got := s.Add(Strike{Server: "a", Heard: true}, at); got != want {
			t.Errorf("heartbeat %d is news: %t", i, got)
		}
	}
}
