package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/claim"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/relay"
)

// faults is a seeded source of random faults and delays, safe for concurrent use.
type faults struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (f *faults) chance(percent int) bool { return f.intN(100) < percent }

func (f *faults) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *faults) delay(limit time.Duration) { time.Sleep(time.Duration(f.intN(int(limit)))) }

// claimLog replaces the replicated log: it applies the commands of all entries in
// one order.
type claimLog struct {
	mu    sync.Mutex
	table *claim.Table
}

func newClaimLog() *claimLog { return &claimLog{table: claim.NewTable(claim.DefaultOptions)} }

func (l *claimLog) Apply(_ context.Context, command claim.Command) (claim.Reply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Apply(command, time.Now()), nil
}

var errDown = errors.New("down")

// crashingEntry is an entry that can crash. While it is down, it cannot reach
// anything.
type crashingEntry struct {
	faults *faults
	log    *claimLog
	desk   *desk
	entry  *entry.Entry
	mu     sync.Mutex
	down   bool
}

func (c *crashingEntry) isDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

func (c *crashingEntry) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// Apply loses commands and replies, resends commands, and delivers some of them
// long after their sender gave up.
func (c *crashingEntry) Apply(ctx context.Context, command claim.Command) (claim.Reply, error) {
	for ctx.Err() == nil && !c.isDown() {
		c.faults.delay(200 * time.Millisecond)
		if c.faults.chance(15) {
			go func() {
				c.faults.delay(8 * time.Second)
				_, _ = c.log.Apply(ctx, command)
			}()
		}
		if c.isDown() || c.faults.chance(25) {
			c.faults.delay(time.Second)
			continue
		}
		reply, _ := c.log.Apply(ctx, command)
		c.faults.delay(200 * time.Millisecond)
		if !c.isDown() && !c.faults.chance(25) {
			return reply, nil
		}
	}
	return claim.Reply{}, errDown
}

// desk is a booking desk that counts its runs and sometimes drops its answer.
type desk struct {
	faults *faults
	mu     sync.Mutex
	runs   map[string]int
	total  int
}

func (d *desk) run(body string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[body]++
	d.total++
	return d.total
}

func (d *desk) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil || d.faults.chance(10) {
		return
	}
	d.faults.delay(1500 * time.Millisecond)
	number := fmt.Sprint(d.run(string(body)))
	d.faults.delay(1500 * time.Millisecond)
	if d.faults.chance(20) {
		return
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(number), number)
}

func (c *crashingEntry) dial(context.Context, string, string) (net.Conn, error) {
	if c.isDown() || c.faults.chance(20) {
		return nil, errDown
	}
	client, server := net.Pipe()
	go c.desk.serve(server)
	return client, nil
}

func newCrashingEntry(f *faults, log *claimLog, d *desk) *crashingEntry {
	c := &crashingEntry{faults: f, log: log, desk: d}
	client := &http.Client{Transport: relay.NewTransportOver(c.dial)}
	options := entry.Options{Claims: c, FirstByteTimeout: 2 * time.Second, ClaimTimeout: 2 * time.Second}
	c.entry = entry.New(options, newSource(service("a", "a.test", 0), service("b", "b.test", 0)), client, zap.NewNop())
	return c
}

// bookResult is the result that a caller received; if the answer was lost, the
// outcome is unknown.
type bookResult struct {
	outcome outcome.Outcome
	receipt string
}

func (c *crashingEntry) book(key string) bookResult {
	if c.isDown() {
		return bookResult{}
	}
	request := httptest.NewRequest(http.MethodPost, "/services/desk/once", strings.NewReader(key))
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Idempotency-Key", key)
	recorder := httptest.NewRecorder()
	c.entry.Handler().ServeHTTP(recorder, request)
	if c.isDown() || c.faults.chance(20) {
		return bookResult{}
	}
	reported, _ := outcome.Parse(recorder.Header().Get(outcome.Header))
	return bookResult{outcome: reported, receipt: recorder.Body.String()}
}

// The states of one key in the model are the receipt of its run or one of the
// following.
const (
	stateNotRun     = ""
	stateRanUnknown = "?"
	callsPerKey     = 5
)

// bookingModel defines which results callers may receive if the call of a key runs
// at most once: a single receipt, and never "not run" after it ran.
var bookingModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{stateNotRun} },
	Step: func(state, _, output any) []any {
		result := output.(bookResult)
		switch {
		case result.outcome == outcome.Answered && (state == stateNotRun || state == stateRanUnknown || state == result.receipt):
			return []any{result.receipt}
		case result.outcome == outcome.NotRun && state == stateNotRun:
			return []any{stateNotRun}
		case result.outcome == outcome.Unknown && state == stateNotRun:
			return []any{stateNotRun, stateRanUnknown}
		case result.outcome == outcome.Unknown:
			return []any{state}
		default:
			return nil
		}
	},
}).ToModel()

// history is the result of one schedule.
type history struct {
	duplicateRuns, ran, answered int
	byKey                        map[string][]porcupine.Operation
}

// runSchedule has callers book through three crashing entries. If shared is false,
// each entry has a claim log of its own, which is the naive version.
func runSchedule(t *testing.T, seed uint64, shared bool) history {
	h := history{byKey: make(map[string][]porcupine.Operation)}
	synctest.Test(t, func(*testing.T) {
		f := &faults{random: rand.New(rand.NewPCG(seed, 7))}
		d := &desk{faults: f, runs: make(map[string]int)}
		log := newClaimLog()
		var entries []*crashingEntry
		for range 3 {
			if !shared {
				log = newClaimLog()
			}
			entries = append(entries, newCrashingEntry(f, log, d))
		}
		go crashRandomly(f, entries)
		var mu sync.Mutex
		var callers sync.WaitGroup
		for client := range 6 {
			key := fmt.Sprintf("key-%d", client/2)
			callers.Go(func() {
				for range callsPerKey {
					began := time.Now().UnixNano()
					result := entries[f.intN(3)].book(key)
					mu.Lock()
					h.byKey[key] = append(h.byKey[key], porcupine.Operation{ClientId: client, Call: began, Output: result, Return: time.Now().UnixNano()})
					mu.Unlock()
					f.delay(2 * time.Second)
				}
			})
		}
		callers.Wait()
		time.Sleep(2 * time.Minute)
		for _, runs := range d.runs {
			h.duplicateRuns += runs - 1
			h.ran++
		}
		for _, operations := range h.byKey {
			for _, operation := range operations {
				if operation.Output.(bookResult).outcome == outcome.Answered {
					h.answered++
				}
			}
		}
	})
	return h
}

func crashRandomly(f *faults, entries []*crashingEntry) {
	for range 6 {
		f.delay(5 * time.Second)
		e := entries[f.intN(3)]
		e.setDown(true)
		f.delay(3 * time.Second)
		e.setDown(false)
	}
}

const numSchedules = 60

// Two clicks on one deposit, lost answers, crashing entries, commands that reach
// the log seconds late, and resends through other entries occur in any combination.
// A deposit must not be taken twice.
func TestCallWithKeyRunsAtMostOnceThroughAnyEntry(t *testing.T) {
	var naive, shared history
	for seed := range uint64(numSchedules) {
		h := runSchedule(t, seed, true)
		if h.duplicateRuns > 0 {
			t.Errorf("seed %d: %d duplicate runs", seed, h.duplicateRuns)
		}
		for key, operations := range h.byKey {
			if !porcupine.CheckOperations(bookingModel, operations) {
				t.Errorf("seed %d, %s: the results are not linearizable with at most one run: %v", seed, key, operations)
			}
		}
		shared.ran += h.ran
		shared.answered += h.answered
		n := runSchedule(t, seed, false)
		naive.duplicateRuns += n.duplicateRuns
	}
	if naive.duplicateRuns == 0 || shared.answered == 0 {
		t.Error("the schedules do not provoke duplicate runs with one claim log per entry, or no call was answered")
	}
	t.Logf("%d schedules: shared log: %d calls run, %d answers; one log per entry: %d duplicate runs", numSchedules, shared.ran, shared.answered, naive.duplicateRuns)
}

// A caller resends a finished booking, sends a different call with the same key,
// and later looks up the state of its call.
func TestFinishedCallIsReplayedAndItsKeyIsBound(t *testing.T) {
	ran := 0
	address := startHandler(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ran++
		w.Header().Set("Receipt", fmt.Sprint(ran))
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, "receipt %d", ran)
	}))
	log := newClaimLog()
	_, first := newEntry(t, entry.Options{Claims: log}, newSource(service("a", address, 0)))
	_, second := newEntry(t, entry.Options{Claims: log}, newSource(service("a", address, 0)))
	one := call(t, first, http.MethodPost, "/services/desk/once", "k", "x")
	two := call(t, second, http.MethodPost, "/services/desk/once", "k", "x")
	if ran != 1 || one.body != "receipt 1" || two.body != one.body || two.status != http.StatusCreated || two.header.Get("Receipt") != "1" || two.header.Get("Idempotent-Replayed") != "true" {
		t.Errorf("got %d runs, answers %v and %v; want 1 run and its answer replayed", ran, one, two)
	}
	other := call(t, second, http.MethodPost, "/services/desk/once", "k", "y")
	if other.status != http.StatusUnprocessableEntity || other.outcome != outcome.NotRun {
		t.Errorf("different call with the same key: got status %d, outcome %v; want 422, not-run", other.status, other.outcome)
	}
	state := call(t, second, http.MethodGet, "/claims/k", "", "")
	if state.status != http.StatusOK || !strings.Contains(state.body, `"state":"finished"`) {
		t.Errorf("claim: got status %d, body %s; want 200 and the state finished", state.status, state.body)
	}
	if missing := call(t, second, http.MethodGet, "/claims/none", "", ""); missing.status != http.StatusNotFound {
		t.Errorf("unused key: got status %d, want 404", missing.status)
	}
	if ran != 1 {
		t.Errorf("the call ran %d times, want once", ran)
	}
}
