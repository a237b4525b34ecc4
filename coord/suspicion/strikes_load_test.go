package suspicion

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Times and sizes of the load that TestCrashingRequestAmongOthers plays.
const (
	loadStep     = 5 * time.Millisecond
	loadDuration = 9 * time.Second
	loadSeeds    = 15
	loadServers  = 18
	loadCallers  = 216
	// loadHolders is the number of servers that a third of the callers and the crashing request use.
	loadHolders  = 6
	loadDowntime = 3 * time.Second
	strikeDelay  = 20 * time.Millisecond
	firstOutput  = 100 * time.Millisecond
	crashAfter   = 50 * time.Millisecond
	shortestRun  = time.Second
	runSpread    = 5 * time.Second
	repeats      = 3
	crashingID   = 1
	// polledID is the request that loadPollers send again and again, each run of which takes
	// shortestPoll to shortestPoll and pollSpread.
	polledID      = 2
	loadPollers   = 40
	shortestPoll  = 30 * time.Millisecond
	pollSpread    = 100 * time.Millisecond
	crashingBegin = 4 * time.Second
)

type loadServer struct {
	incarnation int
	upAt        time.Time
}

// loadCaller sends one request after the other, and each again when its server ends.
type loadCaller struct {
	crashing    bool
	polls       bool
	holdersOnly bool
	fingerprint uint64
	left        int
	server      int
	// began and ends bound the run; began is zero while the request is to be sent.
	began, ends time.Time
}

// load is a fleet of servers whose callers repeat at once.
type load struct {
	random   *rand.Rand
	strikes  *Strikes
	servers  [loadServers]loadServer
	callers  []*loadCaller
	next     uint64
	learned  []heldStrike
	crashes  int
	innocent int
}

func newLoad(seed uint64, copies int) *load {
	l := &load{random: rand.New(rand.NewPCG(seed, 1)), strikes: NewStrikes(), next: polledID + 1}
	for i := range loadCallers {
		c := &loadCaller{holdersOnly: i%3 == 0}
		l.renew(c)
		l.callers = append(l.callers, c)
	}
	for range copies {
		l.callers = append(l.callers, &loadCaller{crashing: true, holdersOnly: true, fingerprint: crashingID})
	}
	return l
}

// addPollers adds callers that all send the same read.
func (l *load) addPollers() {
	for range loadPollers {
		l.callers = append(l.callers, &loadCaller{polls: true, fingerprint: polledID})
	}
}

func (l *load) renew(c *loadCaller) {
	if c.polls {
		c.began = time.Time{}
		return
	}
	c.fingerprint, c.left, c.began = l.next, repeats, time.Time{}
	l.next++
}

// play runs the load and counts the servers that ended and the other requests that were refused.
func (l *load) play() {
	start := time.Unix(1000, 0)
	for now := start; now.Before(start.Add(loadDuration)); now = now.Add(loadStep) {
		for len(l.learned) > 0 && !now.Before(l.learned[0].at) {
			if l.learned[0].Answered {
				l.strikes.Answered(l.learned[0].Fingerprint, now)
			} else {
				l.strikes.Add(l.learned[0].Strike, now)
			}
			l.learned = l.learned[1:]
		}
		for _, c := range l.callers {
			switch {
			case c.crashing && now.Sub(start) < crashingBegin:
			case c.began.IsZero():
				l.send(c, now)
			case !now.Before(c.ends) && c.crashing:
				l.crash(c.server, now)
			case !now.Before(c.ends):
				l.learned = append(l.learned, heldStrike{Strike: Strike{Fingerprint: c.fingerprint, Answered: true}, at: now.Add(strikeDelay)})
				l.renew(c)
			}
		}
	}
}

func (l *load) send(c *loadCaller, now time.Time) {
	if l.strikes.Refused(c.fingerprint, now) {
		if !c.crashing {
			l.innocent++
			l.renew(c)
		}
		return
	}
	choices := loadServers
	if c.holdersOnly {
		choices = loadHolders
	}
	c.server = l.random.IntN(choices)
	if now.Before(l.servers[c.server].upAt) {
		return
	}
	c.began, c.ends = now, now.Add(shortestRun+time.Duration(l.random.Int64N(int64(runSpread))))
	if c.crashing {
		c.ends = now.Add(crashAfter)
	}
	if c.polls {
		c.ends = now.Add(shortestPoll + time.Duration(l.random.Int64N(int64(pollSpread))))
	}
}

// crash ends a server and breaks all its runs.
func (l *load) crash(server int, now time.Time) {
	l.crashes++
	id := fmt.Sprintf("%d.%d", server, l.servers[server].incarnation)
	l.servers[server] = loadServer{incarnation: l.servers[server].incarnation + 1, upAt: now.Add(loadDowntime)}
	for _, c := range l.callers {
		if c.server != server || c.began.IsZero() {
			continue
		}
		output := max(now.Sub(c.began)-firstOutput, 0)
		l.learned = append(l.learned, heldStrike{Strike: Strike{Fingerprint: c.fingerprint, Server: id, OutputMillis: output.Milliseconds()}, at: now.Add(strikeDelay)})
		c.began = time.Time{}
		if c.left--; c.left < 0 && !c.crashing {
			l.renew(c)
		}
	}
}

// Guards against a request that ends servers beyond the third, and against refusing those that only stood on the same servers while their callers repeat.
func TestCrashingRequestAmongOthers(t *testing.T) {
	for _, copies := range []int{1, 3} {
		crashes, innocent := 0, 0
		for seed := range uint64(loadSeeds) {
			l := newLoad(seed, copies)
			l.play()
			// A copy that was sent before the third end was known ends one more.
			if most := strikeLimit + copies; l.crashes < strikeLimit || l.crashes > most {
				t.Errorf("seed %d, %d copies in flight: %d servers ended, want %d to %d", seed, copies, l.crashes, strikeLimit, most)
			}
			crashes += l.crashes
			innocent += l.innocent
		}
		if innocent > 0 {
			t.Errorf("%d copies in flight: %d requests that were only there were refused", copies, innocent)
		}
		t.Logf("%d copies in flight: %d servers ended and %d other requests were refused in %d plays", copies, crashes, innocent, loadSeeds)
	}
}

// Guards against a read that many send all the time, is in flight wherever a server ends, and is refused for it.
func TestPolledReadIsNotRefusedForCrashes(t *testing.T) {
	for _, copies := range []int{1, 3} {
		crashes, innocent := 0, 0
		for seed := range uint64(loadSeeds) {
			l := newLoad(seed, copies)
			l.addPollers()
			l.play()
			crashes += l.crashes
			innocent += l.innocent
			if most := strikeLimit + copies; l.crashes < strikeLimit || l.crashes > most {
				t.Errorf("seed %d, %d copies in flight: %d servers ended, want %d to %d", seed, copies, l.crashes, strikeLimit, most)
			}
		}
		if innocent > 0 {
			t.Errorf("%d copies in flight: %d requests that were only there were refused", copies, innocent)
		}
		t.Logf("%d copies in flight: %d servers ended and %d other requests were refused in %d plays", copies, crashes, innocent, loadSeeds)
	}
}
