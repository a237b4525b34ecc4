package suspicion

import (
	"testing"
	"time"
)

// sight is what a connection without a request meets.
type sight uint8

const (
	staysOpen sight = iota
	closedAtOnce
	closedWhenIdle
	refused
	unanswered
)

const (
	endingWindow = 2400 * time.Millisecond
	endingStep   = 10 * time.Millisecond
	// closeTime is the time after which closedAtOnce is seen, idleTime that of closedWhenIdle.
	closeTime = 10 * time.Millisecond
	idleTime  = 700 * time.Millisecond
)

// follow looks at a server whose connection broke at 0 for so long, and returns when and how it
// is known to have ended, or when it is known to live on.
func follow(sights func(at time.Duration) sight, connected bool, duration time.Duration) (evidence Evidence, livesOn bool, after time.Duration) {
	e, start := NewEnding(endingWindow), time.Unix(1000, 0)
	var opened time.Duration
	open := false
	for at := time.Duration(0); at < duration; at += endingStep {
		now := start.Add(at)
		if open {
			s := sights(at)
			switch {
			case s == refused, s == closedAtOnce && at-opened >= closeTime, s == closedWhenIdle && at-opened >= idleTime:
				open = false
				e.Closed(now)
			default:
				e.StillOpen(now)
			}
		}
		if e.ProbeDue(now) {
			switch sights(at) {
			case refused:
				e.Refused()
			case unanswered:
				e.Unanswered(now)
			default:
				open, opened = true, at
				e.Opened(now)
			}
		}
		if evidence := e.Evidence(func() bool { return connected }, now); evidence != "" {
			return evidence, false, at
		}
		if e.LivesOn(start, now) {
			return "", true, at
		}
	}
	return "", false, duration
}

func after(first sight, until time.Duration, then sight) func(time.Duration) sight {
	return func(at time.Duration) sight {
		if at < until {
			return first
		}
		return then
	}
}

// Guards against ends of servers that are missed because something accepts a connection, and against servers that live on and are taken for ended.
func TestEndingOfServer(t *testing.T) {
	for name, test := range map[string]struct {
		sights    func(time.Duration) sight
		connected bool
		want      Evidence
		livesOn   bool
		// within is the latest time of the judgement.
		within time.Duration
	}{
		"nothing listens":                          {sights: after(refused, 0, refused), want: Refuses},
		"the listener ends 1 ms later":             {sights: after(staysOpen, time.Millisecond, refused), want: Refuses, within: 50 * time.Millisecond},
		"the listener ends 20 ms later":            {sights: after(staysOpen, 20*time.Millisecond, refused), want: Refuses, within: 100 * time.Millisecond},
		"the listener ends 200 ms later":           {sights: after(staysOpen, 200*time.Millisecond, refused), want: Refuses, within: 300 * time.Millisecond},
		"another process holds its port":           {sights: after(closedAtOnce, 0, closedAtOnce), want: Closes, within: endingWindow + 100*time.Millisecond},
		"the port is held for a second":            {sights: after(closedAtOnce, time.Second, refused), want: Refuses, within: 1600 * time.Millisecond},
		"it lives on":                              {sights: after(staysOpen, 0, staysOpen), livesOn: true, within: endingWindow + 2*endingStep},
		"it closes idle connections":               {sights: after(closedWhenIdle, 0, closedWhenIdle), livesOn: true, within: endingWindow + 2*endingStep},
		"it ends long afterwards":                  {sights: after(staysOpen, 3*time.Second, refused), livesOn: true, within: endingWindow + 2*endingStep},
		"it is full, other connections of it open": {sights: after(closedAtOnce, 0, closedAtOnce), connected: true, within: 20 * time.Second},
		"its link resets for a second":             {sights: after(closedAtOnce, time.Second, staysOpen), livesOn: true, within: 1500*time.Millisecond + endingWindow},
		"it is silent":                             {sights: after(unanswered, 0, unanswered), within: 20 * time.Second},
		"it is silent, then nothing listens":       {sights: after(unanswered, 3*time.Second, refused), want: Refuses, within: 3500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			evidence, livesOn, at := follow(test.sights, test.connected, 20*time.Second)
			if evidence != test.want || livesOn != test.livesOn || at > test.within {
				t.Errorf("evidence %q, lives on %v after %s, want %q and %v within %s", evidence, livesOn, at, test.want, test.livesOn, test.within)
			}
		})
	}
}

// Guards against a server that is probed without end.
func TestEndingProbesSeldom(t *testing.T) {
	e, now, probes := NewEnding(endingWindow), time.Unix(1000, 0), 0
	for range 2000 {
		if e.ProbeDue(now) {
			probes++
			e.Opened(now)
			e.Closed(now)
		}
		now = now.Add(endingStep)
	}
	if probes > 50 {
		t.Errorf("%d connections in 20 s", probes)
	}
}
