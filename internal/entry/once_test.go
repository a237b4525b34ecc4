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

// faults is a seeded source of mishaps, safe for concurrent use.
type faults struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (f *faults) chance(percent int) bool { return f.below(100) < percent }

func (f *faults) below(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *faults) delay(most time.Duration) { time.Sleep(time.Duration(f.below(int(most)))) }

// claimLog stands for the replicated log: one order for all entries.
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

// worker is one entry that can crash: from then on it reaches nothing.
type worker struct {
	faults *faults
	log    *claimLog
	desk   *desk
	entry  *entry.Entry
	mu     sync.Mutex
	down   bool
}

func (w *worker) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

func (w *worker) setDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// Apply loses commands and replies, resends, and delivers some commands long
// after their sender gave up.
func (w *worker) Apply(ctx context.Context, command claim.Command) (claim.Reply, error) {
	for ctx.Err() == nil && !w.isDown() {
		w.faults.delay(200 * time.Millisecond)
		if w.faults.chance(15) {
			go func() {
				w.faults.delay(8 * time.Second)
				_, _ = w.log.Apply(ctx, command)
			}()
		}
		if w.isDown() || w.faults.chance(25) {
			w.faults.delay(time.Second)
			continue
		}
		reply, _ := w.log.Apply(ctx, command)
		w.faults.delay(200 * time.Millisecond)
		if !w.isDown() && !w.faults.chance(25) {
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

func (w *worker) dial(context.Context, string, string) (net.Conn, error) {
	if w.isDown() || w.faults.chance(20) {
		return nil, errDown
	}
	near, far := net.Pipe()
	go w.desk.serve(far)
	return near, nil
}

func newWorker(f *faults, log *claimLog, d *desk) *worker {
	w := &worker{faults: f, log: log, desk: d}
	client := &http.Client{Transport: relay.NewTransportOver(w.dial)}
	options := entry.Options{Claims: w, FirstByteTimeout: 2 * time.Second, ClaimTimeout: 2 * time.Second}
	w.entry = entry.New(options, newSource(service("a", "a.test", 0), service("b", "b.test", 0)), client, zap.NewNop())
	return w
}

// bookResult is what a caller learned; a lost answer is unknown.
type bookResult struct {
	said    outcome.Outcome
	receipt string
}

func (w *worker) book(key string) bookResult {
	if w.isDown() {
		return bookResult{}
	}
	request := httptest.NewRequest(http.MethodPost, "/services/desk/once", strings.NewReader(key))
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Idempotency-Key", key)
	recorder := httptest.NewRecorder()
	w.entry.Handler().ServeHTTP(recorder, request)
	if w.isDown() || w.faults.chance(20) {
		return bookResult{}
	}
	said, _ := outcome.Parse(recorder.Header().Get(outcome.Header))
	return bookResult{said: said, receipt: recorder.Body.String()}
}

// The states of one key in the model: the receipt of its run, or one of these.
const (
	notRunYet   = ""
	ranUnheard  = "?"
	callsPerKey = 5
)

// bookingModel says what callers may be told when a key's call runs at most
// once: one receipt only, and never "not run" after it ran.
var bookingModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{notRunYet} },
	Step: func(state, _, output any) []any {
		result := output.(bookResult)
		switch {
		case result.said == outcome.Answered && (state == notRunYet || state == ranUnheard || state == result.receipt):
			return []any{result.receipt}
		case result.said == outcome.NotRun && state == notRunYet:
			return []any{notRunYet}
		case result.said == outcome.Unknown && state == notRunYet:
			return []any{notRunYet, ranUnheard}
		case result.said == outcome.Unknown:
			return []any{state}
		default:
			return nil
		}
	},
}).ToModel()

// history is what one schedule brought.
type history struct {
	doubled, ran, answered int
	byKey                  map[string][]porcupine.Operation
}

// runSchedule lets callers book through three crashing entries. With shared
// false each entry keeps its claims to itself, which is the naive version.
func runSchedule(t *testing.T, seed uint64, shared bool) history {
	h := history{byKey: make(map[string][]porcupine.Operation)}
	synctest.Test(t, func(*testing.T) {
		f := &faults{random: rand.New(rand.NewPCG(seed, 7))}
		d := &desk{faults: f, runs: make(map[string]int)}
		log := newClaimLog()
		var workers []*worker
		for range 3 {
			if !shared {
				log = newClaimLog()
			}
			workers = append(workers, newWorker(f, log, d))
		}
		go crashNow(f, workers)
		var mu sync.Mutex
		var callers sync.WaitGroup
		for client := range 6 {
			key := fmt.Sprintf("key-%d", client/2)
			callers.Go(func() {
				for range callsPerKey {
					began := time.Now().UnixNano()
					result := workers[f.below(3)].book(key)
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
			h.doubled += runs - 1
			h.ran++
		}
		for _, operations := range h.byKey {
			for _, operation := range operations {
				if operation.Output.(bookResult).said == outcome.Answered {
					h.answered++
				}
			}
		}
	})
	return h
}

func crashNow(f *faults, workers []*worker) {
	for range 6 {
		f.delay(5 * time.Second)
		w := workers[f.below(3)]
		w.setDown(true)
		f.delay(3 * time.Second)
		w.setDown(false)
	}
}

const schedules = 60

// Two clicks on one deposit, lost answers, crashing entries, commands to the
// log that arrive seconds late, and resends through other entries, in any mix.
// A deposit that is taken twice brings a grandmother to the desk.
func TestACallWithAKeyRunsAtMostOnceThroughAnyEntry(t *testing.T) {
	var naive, ours history
	for seed := range uint64(schedules) {
		h := runSchedule(t, seed, true)
		if h.doubled > 0 {
			t.Errorf("seed %d: %d second runs", seed, h.doubled)
		}
		for key, operations := range h.byKey {
			if !porcupine.CheckOperations(bookingModel, operations) {
				t.Errorf("seed %d, %s: no order of at most one run explains what callers were told: %v", seed, key, operations)
			}
		}
		ours.ran += h.ran
		ours.answered += h.answered
		n := runSchedule(t, seed, false)
		naive.doubled += n.doubled
	}
	if naive.doubled == 0 || ours.answered == 0 {
		t.Error("the schedules do not show the fault")
	}
	t.Logf("%d schedules: ours 0 second runs, %d calls run, %d answers; claims per entry: %d second runs", schedules, ours.ran, ours.answered, naive.doubled)
}

// A caller resends a finished booking, sends another under its key, and asks
// later what became of it.
func TestAFinishedCallIsReplayedAndItsKeyIsBound(t *testing.T) {
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
		t.Errorf("ran %d: %v, then %v", ran, one, two)
	}
	other := call(t, second, http.MethodPost, "/services/desk/once", "k", "y")
	if other.status != http.StatusUnprocessableEntity || other.outcome != outcome.NotRun {
		t.Errorf("another call under the key: %d, %v", other.status, other.outcome)
	}
	asked := call(t, second, http.MethodGet, "/claims/k", "", "")
	if asked.status != http.StatusOK || !strings.Contains(asked.body, `"state":"finished"`) {
		t.Errorf("asked: %d %s", asked.status, asked.body)
	}
	if missing := call(t, second, http.MethodGet, "/claims/none", "", ""); missing.status != http.StatusNotFound {
		t.Errorf("a key that was never used: %d", missing.status)
	}
	if ran != 1 {
		t.Errorf("ran %d times", ran)
	}
}
