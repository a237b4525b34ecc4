package suspicion_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/suspicion"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet simulates servers with requests running on them. A poison request
// crashes its server, and every caller retries its request until it is
// answered.
type fleet struct {
	random   *rand.Rand
	table    *suspicion.Table
	index    uint64
	now      time.Time
	poison   map[suspicion.Fingerprint]bool
	onServer [][]suspicion.Fingerprint
	alone    []bool
	lost     int
	refused  map[suspicion.Fingerprint]int
	answered map[suspicion.Fingerprint]bool
	tokens   map[suspicion.Fingerprint]string
}

const servers = 18

func newFleet(seed uint64, poison ...suspicion.Fingerprint) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), table: suspicion.NewTable(suspicion.DefaultLimits), now: start,
		poison: map[suspicion.Fingerprint]bool{}, onServer: make([][]suspicion.Fingerprint, servers), alone: make([]bool, servers),
		refused: map[suspicion.Fingerprint]int{}, answered: map[suspicion.Fingerprint]bool{}, tokens: map[suspicion.Fingerprint]string{},
	}
	for _, request := range poison {
		f.poison[request] = true
	}
	return f
}

func (f *fleet) apply(command suspicion.Command) suspicion.Verdict {
	f.index++
	verdict, _ := f.table.Apply(f.index, command, f.now)
	return verdict
}

// send sends a request on behalf of its caller. The table is bypassed unless
// isolated is set.
func (f *fleet) send(request suspicion.Fingerprint, isolated bool) {
	verdict := suspicion.Run
	if isolated {
		f.tokens[request] = fmt.Sprint(f.index)
		verdict = f.apply(suspicion.Command{Ask: &suspicion.Ask{Fingerprint: request, Token: f.tokens[request]}})
	}
	server := f.random.IntN(servers)
	switch {
	case verdict == suspicion.Refuse:
		f.refused[request]++
	case verdict == suspicion.Run && !f.alone[server]:
		f.onServer[server] = append(f.onServer[server], request)
	case verdict == suspicion.RunAlone && len(f.onServer[server]) == 0:
		f.onServer[server], f.alone[server] = []suspicion.Fingerprint{request}, true
	case verdict == suspicion.RunAlone:
		f.apply(suspicion.Command{End: &suspicion.End{Fingerprint: request, Token: f.tokens[request]}})
	}
}

// inFlight reports whether the request is running on a server.
func (f *fleet) inFlight(request suspicion.Fingerprint) bool {
	return slices.ContainsFunc(f.onServer, func(running []suspicion.Fingerprint) bool {
		return slices.Contains(running, request)
	})
}

// finish ends the requests that run on a server, with a crash if one of them is
// a poison request.
func (f *fleet) finish(server int) {
	running, crash := f.onServer[server], false
	f.onServer[server] = nil
	for _, request := range running {
		crash = crash || f.poison[request]
	}
	if crash {
		f.lost++
		f.apply(suspicion.Command{Crash: &suspicion.Crash{Server: fmt.Sprint(server), Incarnation: f.index + 1, Fingerprints: running}})
		f.alone[server] = false
		return
	}
	for _, request := range running {
		f.answered[request] = true
		if f.alone[server] {
			f.apply(suspicion.Command{End: &suspicion.End{Fingerprint: request, Token: f.tokens[request], Survived: true}})
		}
	}
	f.alone[server] = false
}

const steps = 4000

// run sends and finishes requests at random. Each caller waits until its
// request has ended before it retries it, without a limit on retries.
func (f *fleet) run(isolated bool) {
	for range steps {
		f.now = f.now.Add(50 * time.Millisecond)
		request := suspicion.Fingerprint(fmt.Sprintf("r%d", f.random.IntN(200)))
		if f.random.IntN(20) == 0 {
			request = "killer"
		}
		if !f.answered[request] && !f.inFlight(request) {
			f.send(request, isolated)
		}
		if f.random.IntN(2) == 0 {
			f.finish(f.random.IntN(servers))
		}
	}
}

// A request crashes every server that runs it, and its caller keeps retrying
// it. Without suspicion it crashes the whole fleet server by server; with
// suspicion that is too coarse, innocent requests on the same servers are
// refused.
func TestPoisonRequestCrashesAtMostTwoServers(t *testing.T) {
	unprotected := 0
	for seed := range uint64(50) {
		f := newFleet(seed, "killer")
		f.run(true)
		if f.lost > 2 {
			t.Errorf("seed %d: %d servers lost, want at most 2", seed, f.lost)
		}
		if f.refused["killer"] == 0 {
			t.Errorf("seed %d: the poison request was never refused", seed)
		}
		for request, n := range f.refused {
			if request != "killer" {
				t.Errorf("seed %d: innocent request %s was refused %d times", seed, request, n)
			}
		}
		n := newFleet(seed, "killer")
		n.run(false)
		unprotected += n.lost
	}
	t.Logf("50 schedules: at most 2 servers lost in each, no innocent request refused; without suspicion %d lost in each on average", unprotected/50)
}

// Two servers crash for other reasons while the same innocent request is on
// both. Crashes of servers with several requests must not convict it.
func TestTwoSharedCrashesDoNotConvict(t *testing.T) {
	table := suspicion.NewTable(suspicion.DefaultLimits)
	for i := range uint64(2) {
		crash := suspicion.Crash{Server: "s", Incarnation: i + 1, Fingerprints: []suspicion.Fingerprint{"innocent", suspicion.Fingerprint(fmt.Sprint(i))}}
		table.Apply(i+1, suspicion.Command{Crash: &crash}, start)
		table.Apply(i+1, suspicion.Command{Crash: &crash}, start)
	}
	ask := suspicion.Command{Ask: &suspicion.Ask{Fingerprint: "innocent", Token: "1"}}
	if got, _ := table.Apply(3, ask, start); got != suspicion.RunAlone {
		t.Errorf("the innocent request got the verdict %s, want a trial", got)
	}
	if got := table.Records()[2]; got.Crashes != 2 {
		t.Errorf("record is %+v, want 2 crashes: a repeated report must not count", got)
	}
}

// An entry crashes during a trial. The trial must expire, or no suspect is ever
// tried again.
func TestTrialEndsWithItsLease(t *testing.T) {
	limits := suspicion.DefaultLimits
	limits.Trials = 1
	table := suspicion.NewTable(limits)
	table.Apply(1, suspicion.Command{Crash: &suspicion.Crash{Server: "s", Incarnation: 1, Fingerprints: []suspicion.Fingerprint{"a", "b"}}}, start)
	ask := func(fingerprint suspicion.Fingerprint, token string, at time.Duration) suspicion.Verdict {
		verdict, _ := table.Apply(2, suspicion.Command{Ask: &suspicion.Ask{Fingerprint: fingerprint, Token: token}}, start.Add(at))
		return verdict
	}
	steps := []struct {
		fingerprint suspicion.Fingerprint
		token       string
		at          time.Duration
		want        suspicion.Verdict
	}{
		{"a", "1", 0, suspicion.RunAlone}, {"a", "1", 0, suspicion.RunAlone}, {"a", "2", 0, suspicion.Wait}, {"b", "3", 0, suspicion.Wait},
		{"b", "3", limits.TrialLease, suspicion.RunAlone}, {"a", "2", limits.TrialLease, suspicion.Wait}, {"c", "4", 0, suspicion.Run},
	}
	for i, step := range steps {
		if got := ask(step.fingerprint, step.token, step.at); got != step.want {
			t.Errorf("step %d: %s, want %s", i, got, step.want)
		}
	}
	restored := suspicion.NewTable(limits)
	restored.Restore(table.Records(), table.Crashed())
	if !reflect.DeepEqual(restored, table) {
		t.Error("the restored table differs from the original")
	}
}
