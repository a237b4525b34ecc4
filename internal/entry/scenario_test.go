package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/claim"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/entry"
)

// callKind is the kind of a call.
type callKind uint8

const (
	callAgentEngine callKind = iota
	callBareEngine
	callIdempotent
	callHead
	callNonIdempotent
	callWithKey
	numCallKinds
)

// numServers is the number of servers in a scenario.
const numServers = 4

// maxAttempts is the maximum number of servers that may run an idempotent call.
const maxAttempts = 3

// scenario is one random call, its resends, and another call after it on the same
// connection.
type scenario struct {
	*script
	call    callKind
	proto   string
	resends int
	// lostClaims is the number of first claim commands that get lost.
	lostClaims int
	answers    []callResult
}

func (sc *scenario) String() string {
	return fmt.Sprintf("call %d, HTTP/%s, stream %v, %d resends, %d lost claims, steps %v, resume actions %v", sc.call, sc.proto, sc.stream, sc.resends, sc.lostClaims, sc.steps, sc.script.resumeActions)
}

// actionsByKind lists the actions to choose from for each kind of server. Actions
// with more variants are listed more than once.
var actionsByKind = map[serverKind][]action{
	plainService: {actionAnswer, actionAnswer, actionEmpty, actionBreak, actionBreak, actionBreak, actionFail, actionFailBroken, actionDrop, actionGarble, actionNonFinal},
	bareEngine:   {actionAnswer, actionAnswer, actionBreak, actionBreak, actionBreak, actionFail, actionFailBroken, actionOtherModel, actionDrop, actionGarble, actionNonFinal},
	engineWithAgent: {actionAnswer, actionBreak, actionBreak, actionBreak, actionBreak, actionBreak, actionFail, actionFailBroken, actionNotRun, actionDecline, actionUnknown, actionOtherModel,
		actionDrop, actionGarble},
}

func randomStep(random *rand.Rand, sc *scenario) step {
	actions := actionsByKind[sc.kind]
	st := step{
		action: actions[random.IntN(len(actions))], framing: framing(random.IntN(int(numFramings))), status: []int{200, 200, 201}[random.IntN(3)],
		pieces: random.IntN(streamEvents + 1), half: random.IntN(2) == 0, reset: random.IntN(2) == 0,
		large: random.IntN(3) == 0, trailer: random.IntN(2) == 0, connCut: random.IntN(3) > 0,
	}
	if sc.kind != engineWithAgent && random.IntN(12) == 0 {
		st.action = actionExtra
	}
	if st.action == actionExtra && st.framing == framingClose {
		// Everything before the close of the connection belongs to the answer.
		st.framing = framingLength
	}
	switch st.action {
	case actionFail, actionFailBroken:
		st.status = []int{500, 502, 503, 504, 400, 404, 409, 429}[random.IntN(8)]
	case actionEmpty:
		st.status = []int{204, 304}[random.IntN(2)]
	case actionNonFinal:
		st.status = []int{0, 99, 101}[random.IntN(3)]
	}
	truncationShows := sc.kind == bareEngine || sc.stream && st.half && st.action == actionBreak
	if st.breaks() && st.framing == framingClose && !truncationShows {
		// An orderly close of the connection would look like the end of the answer.
		st.reset = true
	}
	return st
}

func randomScenario(random *rand.Rand) *scenario {
	sc := &scenario{script: &script{}, proto: []string{"1.1", "1.1", "1.0"}[random.IntN(3)]}
	sc.call = []callKind{callAgentEngine, callAgentEngine, callAgentEngine, callBareEngine, callIdempotent, callHead, callNonIdempotent, callWithKey, callWithKey}[random.IntN(9)]
	sc.stream = sc.call != callHead && random.IntN(2) == 0
	switch sc.call {
	case callAgentEngine:
		sc.kind = engineWithAgent
	case callBareEngine:
		sc.kind = bareEngine
	case callWithKey:
		sc.resends = 1 + random.IntN(2)
		sc.lostClaims = max(0, random.IntN(8)-6)
	}
	for range random.IntN(numServers) {
		sc.steps = append(sc.steps, randomStep(random, sc))
	}
	if sc.kind == engineWithAgent && random.IntN(8) == 0 {
		// No agent has a free slot.
		sc.steps = nil
		for range 4 * numServers {
			sc.steps = append(sc.steps, step{action: []action{actionNotRun, actionDecline}[random.IntN(2)]})
		}
	}
	for range random.IntN(6) {
		sc.script.resumeActions = append(sc.script.resumeActions, resumeAction(random.IntN(int(numResumeActions))))
	}
	return sc
}

// lossyLog loses the first commands that begin a call.
type lossyLog struct {
	*claimLog
	mu        sync.Mutex
	remaining int
}

func (l *lossyLog) Apply(ctx context.Context, command claim.Command) (claim.Reply, error) {
	l.mu.Lock()
	lost := command.Begin != nil && l.remaining > 0
	if lost {
		l.remaining--
	}
	l.mu.Unlock()
	if lost {
		return claim.Reply{}, errDown
	}
	return l.claimLog.Apply(ctx, command)
}

// startEntries starts the scenario's entries in front of servers that follow the
// script.
func (sc *scenario) startEntries(t *testing.T) [2]*entryServer {
	var announced []membership.Announcement
	// All servers share one address, so that a large number of scenarios does not
	// run out of ports.
	address := sc.listen(t)
	for i := range numServers {
		name := fmt.Sprint("s", i)
		if sc.kind == plainService {
			announced = append(announced, service(name, address, 0))
			continue
		}
		server := engineServer(name, address)
		server.Agent = sc.kind == engineWithAgent
		announced = append(announced, server)
	}
	log := &lossyLog{claimLog: newClaimLog(), remaining: sc.lostClaims}
	var entries [2]*entryServer
	for i := range min(len(entries), 1+sc.resends) {
		_, entries[i] = newEntry(t, entry.Options{Claims: log}, newSource(announced...))
	}
	return entries
}

// sendCall sends the call on a connection.
func (sc *scenario) sendCall(conn net.Conn, reader *bufio.Reader, proto string) callResult {
	body := completion("x", 2, sc.stream)
	switch sc.call {
	case callAgentEngine, callBareEngine:
		return callOnConn(conn, reader, proto, http.MethodPost, "/v1/completions", "", body)
	case callIdempotent:
		return callOnConn(conn, reader, proto, http.MethodPost, "/services/desk/again", "", "x")
	case callHead:
		return callOnConn(conn, reader, proto, http.MethodHead, "/services/desk/again", "", "")
	case callNonIdempotent:
		return callOnConn(conn, reader, proto, http.MethodPost, "/services/desk/once", "", "x")
	default:
		return callOnConn(conn, reader, proto, http.MethodPost, "/services/desk/once", "k", "x")
	}
}

func dial(t *testing.T, server *entryServer) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeWithReset(conn) })
	return conn, bufio.NewReader(conn)
}

// runCalls sends the call and its resends, each through the other entry.
func (sc *scenario) runCalls(t *testing.T) {
	entries := sc.startEntries(t)
	for n := range 1 + sc.resends {
		conn, reader := dial(t, entries[n%2])
		got := sc.sendCall(conn, reader, sc.proto)
		sc.answers = append(sc.answers, got)
		sc.checkAnswer(t, n)
		keepAlive := sc.proto == "1.1" && !got.cut && !strings.EqualFold(got.header.Get("Connection"), "close")
		if keepAlive && n == sc.resends {
			sc.checkNextCall(t, conn, reader)
		}
	}
}

func (sc *scenario) ran() int {
	ran := 0
	for _, r := range sc.recordedRuns() {
		if r.ran {
			ran++
		}
	}
	return ran
}

// checkAnswer checks the n-th answer against what the servers did.
func (sc *scenario) checkAnswer(t *testing.T, n int) {
	t.Helper()
	got, ran := sc.answers[n], sc.ran()
	idempotent := sc.call != callNonIdempotent && sc.call != callWithKey
	if !idempotent && ran > 1 || ran > maxAttempts {
		t.Errorf("%d servers ran the call", ran)
	}
	switch name := got.header.Get("Run"); {
	case got.status == 0:
		t.Error("the connection was closed without an answer while the caller was connected")
	case name == "":
		sc.checkOwnAnswer(t, n)
	default:
		for _, r := range sc.recordedRuns() {
			if r.name == name {
				sc.checkRelayedAnswer(t, n, r)
				return
			}
		}
		t.Errorf("no run has the name %q", name)
	}
}

// checkOwnAnswer checks that an answer of the entry itself is complete and says
// "not run" only if the call did not run.
func (sc *scenario) checkOwnAnswer(t *testing.T, n int) {
	t.Helper()
	got := sc.answers[n]
	object := strings.Contains(got.body, `"code":"`) || sc.call == callHead
	if got.cut || got.status < 400 || !object {
		t.Errorf("answer of the entry itself: status %d, body %q, cut %v", got.status, got.body, got.cut)
	}
	notKept := strings.Contains(got.body, `"code":"answer_not_kept"`)
	switch reported := got.header.Get(outcome.Header); {
	case reported == "not-run" && sc.ran() > 0:
		t.Errorf("outcome is not-run, but %d servers ran the call", sc.ran())
	case reported == "answered" && (!notKept || sc.ran() != 1):
		t.Errorf("outcome is answered with %q, but %d servers ran the call", got.body, sc.ran())
	case reported == "":
		t.Error("the answer has no outcome")
	}
}

// checkRelayedAnswer checks that a relayed answer comes from one run: its status,
// its header, and its complete body or a prefix of it that does not look complete.
func (sc *scenario) checkRelayedAnswer(t *testing.T, n int, r run) {
	t.Helper()
	got := sc.answers[n]
	if got.outcome != outcome.Answered || got.status != r.status || !r.ran || r.action == actionOtherModel || r.action == actionNonFinal {
		t.Errorf("outcome %v, status %d, run %+v", got.outcome, got.status, r)
	}
	replayed := got.header.Get("Idempotent-Replayed") != ""
	if replayed != (n > 0 && sc.answeredBefore(n)) {
		t.Errorf("answer %d: replayed %v", n, replayed)
	}
	if !got.cut {
		if got.body != r.body || !r.complete {
			t.Errorf("not cut: body %q, run %+v", got.body, r)
		}
		if want := sc.wantTrailer(r); !replayed && got.trailer.Get("Checksum") != want {
			t.Errorf("trailer %v, want %q", got.trailer, want)
		}
		return
	}
	part, hasErrorEvent := strings.CutSuffix(got.body, errorEvent)
	inEvent := sc.stream && r.status < 300 && part != "" && !strings.HasSuffix(part, "\n\n")
	if !strings.HasPrefix(r.body, part) || inEvent || hasErrorEvent && !(sc.stream && r.status < 300) {
		t.Errorf("cut after %q, run %+v", got.body, r)
	}
	// An engine's error answer is not required to show its end.
	endNotShown := sc.kind == bareEngine && r.framing == framingClose && r.status >= 400
	if sc.kind != engineWithAgent && r.complete && !endNotShown || sc.kind == engineWithAgent && r.complete && r.lastResume == resumeAll {
		t.Errorf("cut after %q although the complete answer was available: run %+v", got.body, r)
	}
}

// errorEvent is the last event of a cut stream.
const errorEvent = `data: {"error":{"message":"the answer could not be completed","type":"server_error","code":"unknown_outcome"}}` + "\n\n"

// answeredBefore reports whether an answer before the n-th came from a run.
func (sc *scenario) answeredBefore(n int) bool {
	for _, earlier := range sc.answers[:n] {
		if earlier.header.Get("Run") != "" {
			return true
		}
	}
	return false
}

// wantTrailer returns the trailer that a complete answer of the run must have, or
// "" if it can have none.
func (sc *scenario) wantTrailer(r run) string {
	// The rest of an answer that was delimited by its connection is sent in chunks.
	chunked := r.framing == framingChunked || r.framing == framingClose && r.resumes > 0
	if r.trailer && chunked && sc.proto == "1.1" && r.action != actionEmpty && sc.call != callHead {
		return r.name
	}
	return ""
}

// checkNextCall sends a different call on the same connection and checks its
// answer.
func (sc *scenario) checkNextCall(t *testing.T, conn net.Conn, reader *bufio.Reader) {
	t.Helper()
	before := len(sc.recordedRuns())
	sc.mu.Lock()
	// Steps that the call did not reach are dropped.
	sc.steps = sc.steps[:min(before, len(sc.steps))]
	sc.mu.Unlock()
	var got callResult
	if sc.kind == plainService {
		got = callOnConn(conn, reader, "1.1", http.MethodPost, "/services/desk/again", "", "y")
	} else {
		got = callOnConn(conn, reader, "1.1", http.MethodPost, "/v1/completions", "", completion("y", 2, sc.stream))
	}
	runs := sc.recordedRuns()
	if got.cut || len(runs) != before+1 || got.header.Get("Run") != runs[before].name || got.body != runs[before].body {
		t.Errorf("the next call on the connection got %+v, runs %v", got, runs[before:])
	}
}

// countEndings counts how the scenario's answers ended for the caller.
func (sc *scenario) countEndings() map[string]int {
	ends := make(map[string]int)
	runs := make(map[string]run)
	for _, r := range sc.recordedRuns() {
		runs[r.name] = r
	}
	for _, got := range sc.answers {
		ends[sc.ending(got, runs)]++
	}
	return ends
}

func (sc *scenario) ending(got callResult, runs map[string]run) string {
	r, found := runs[got.header.Get("Run")]
	framed := "stream"
	if !sc.stream {
		framed = "plain"
	}
	switch {
	case !found:
		return "entry's answer, " + got.header.Get(outcome.Header)
	case got.header.Get("Idempotent-Replayed") != "":
		return "replayed answer"
	case r.status >= 400 && !got.cut:
		return "server's error"
	case got.cut && r.resumes > 0:
		return "cut " + framed + ", resume requested"
	case got.cut:
		return "cut " + framed
	case r.resumes > 0:
		return "resumed " + framed
	case r.name != "run-0":
		return "complete " + framed + " of a later run"
	default:
		return "complete " + framed
	}
}

var wantEndings = []string{
	"entry's answer, not-run", "entry's answer, unknown", "entry's answer, answered", "replayed answer", "server's error",
	"cut stream", "cut plain", "cut stream, resume requested", "cut plain, resume requested",
	"resumed stream", "resumed plain", "complete stream", "complete plain", "complete stream of a later run", "complete plain of a later run",
}

// numSeeds is the number of fixed seeds that every test run uses; DRAWN_SEEDS adds
// random ones.
const numSeeds = 800

// regressionSeeds are random seeds that revealed a fault.
var regressionSeeds = []uint64{17129374652440157774, 10253770484131410951, 17957575384985272122, 6925526352087033314}

// Servers and their agents answer, break off, fail, refuse or stop responding, in
// any order and at each attempt. Callers with HTTP/1.0 and HTTP/1.1 send calls of
// each kind and resend some of them. In every case a caller must be able to tell a
// complete answer from a part and which run it belongs to, the reported outcome
// must be correct, and a call that must run at most once must not run twice.
func TestCallersCanInterpretAnswersUnderRandomFaults(t *testing.T) {
	var mu sync.Mutex
	counts := make(map[string]int)
	runSeed := func(t *testing.T, seed uint64) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			t.Parallel()
			sc := randomScenario(rand.New(rand.NewPCG(seed, 0)))
			sc.runCalls(t)
			mu.Lock()
			defer mu.Unlock()
			for end, n := range sc.countEndings() {
				counts[end] += n
			}
			if t.Failed() {
				t.Log(sc)
			}
		})
	}
	t.Run("scenarios", func(t *testing.T) {
		for seed := range uint64(numSeeds) {
			runSeed(t, seed)
		}
		for _, seed := range regressionSeeds {
			runSeed(t, seed)
		}
		fresh, _ := strconv.Atoi(os.Getenv("DRAWN_SEEDS"))
		for range fresh {
			runSeed(t, rand.Uint64())
		}
	})
	for _, end := range wantEndings {
		if counts[end] == 0 {
			t.Errorf("no scenario has an answer that ends as: %s; the scenarios do not cover every ending", end)
		}
	}
	for end := range maps.Keys(counts) {
		if counts[end] > 0 && !strings.Contains(strings.Join(wantEndings, "|"), end) {
			t.Errorf("unexpected ending of an answer: %s", end)
		}
	}
	t.Log(counts)
}
