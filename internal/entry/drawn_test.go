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

// callKind is a kind of request.
type callKind uint8

const (
	callModel callKind = iota
	callModelBare
	callSafe
	callLook
	callUnsafe
	callOnce
	callKinds
)

// drawnServers is how many servers there are.
const drawnServers = 4

// maxAttempts is how many servers may run what may run again.
const maxAttempts = 3

// play is one drawn call, with resends of it, and another call behind it on the
// same connection.
type play struct {
	*script
	call    callKind
	proto   string
	resends int
	// lostClaims makes claims be out of reach for the first calls.
	lostClaims int
	answers    []told
}

func (p *play) String() string {
	return fmt.Sprintf("call %d, HTTP/%s, stream %v, %d resends, claims lost %d, servers %v, rests %v", p.call, p.proto, p.stream, p.resends, p.lostClaims, p.acts, p.script.rests)
}

// drawnDeeds are drawn alike for each kind of server; what ends in the most
// different ways stands more than once.
var drawnDeeds = map[serverKind][]deed{
	plainService: {deedAnswer, deedAnswer, deedEmpty, deedBreak, deedBreak, deedBreak, deedFail, deedFailBroken, deedDrop, deedGarble, deedOdd},
	bareEngine:   {deedAnswer, deedAnswer, deedBreak, deedBreak, deedBreak, deedFail, deedFailBroken, deedOther, deedDrop, deedGarble, deedOdd},
	agentBefore: {deedAnswer, deedBreak, deedBreak, deedBreak, deedBreak, deedBreak, deedFail, deedFailBroken, deedNotRun, deedDecline, deedUnknown, deedOther,
		deedDrop, deedGarble},
}

func drawAct(random *rand.Rand, p *play) act {
	deeds := drawnDeeds[p.kind]
	a := act{
		deed: deeds[random.IntN(len(deeds))], framing: framing(random.IntN(int(framings))), status: []int{200, 200, 201}[random.IntN(3)],
		pieces: random.IntN(drawnEvents + 1), half: random.IntN(2) == 0, reset: random.IntN(2) == 0,
		large: random.IntN(3) == 0, trailer: random.IntN(2) == 0, lineCut: random.IntN(3) > 0,
	}
	if p.kind != agentBefore && random.IntN(12) == 0 {
		a.deed = deedExtra
	}
	if a.deed == deedExtra && a.framing == framingClose {
		// What stands before the end of the connection is the answer.
		a.framing = framingLength
	}
	switch a.deed {
	case deedFail, deedFailBroken:
		a.status = []int{500, 502, 503, 504, 400, 404, 409, 429}[random.IntN(8)]
	case deedEmpty:
		a.status = []int{204, 304}[random.IntN(2)]
	case deedOdd:
		a.status = []int{0, 99, 101}[random.IntN(3)]
	}
	shows := p.kind == bareEngine || p.stream && a.half && a.deed == deedBreak
	if a.breaks() && a.framing == framingClose && !shows {
		// An orderly end of the connection would be that of the answer.
		a.reset = true
	}
	return a
}

func drawPlay(random *rand.Rand) *play {
	p := &play{script: &script{}, proto: []string{"1.1", "1.1", "1.0"}[random.IntN(3)]}
	p.call = []callKind{callModel, callModel, callModel, callModelBare, callSafe, callLook, callUnsafe, callOnce, callOnce}[random.IntN(9)]
	p.stream = p.call != callLook && random.IntN(2) == 0
	switch p.call {
	case callModel:
		p.kind = agentBefore
	case callModelBare:
		p.kind = bareEngine
	case callOnce:
		p.resends = 1 + random.IntN(2)
		p.lostClaims = max(0, random.IntN(8)-6)
	}
	for range random.IntN(drawnServers) {
		p.acts = append(p.acts, drawAct(random, p))
	}
	if p.kind == agentBefore && random.IntN(8) == 0 {
		// No agent has room.
		p.acts = nil
		for range 4 * drawnServers {
			p.acts = append(p.acts, act{deed: []deed{deedNotRun, deedDecline}[random.IntN(2)]})
		}
	}
	for range random.IntN(6) {
		p.script.rests = append(p.script.rests, rest(random.IntN(int(rests))))
	}
	return p
}

// lossyLog loses the first commands to begin a call.
type lossyLog struct {
	*claimLog
	mu   sync.Mutex
	lose int
}

func (l *lossyLog) Apply(ctx context.Context, command claim.Command) (claim.Reply, error) {
	l.mu.Lock()
	lost := command.Begin != nil && l.lose > 0
	if lost {
		l.lose--
	}
	l.mu.Unlock()
	if lost {
		return claim.Reply{}, errDown
	}
	return l.claimLog.Apply(ctx, command)
}

// stage starts two entries before servers that play the script.
func (p *play) stage(t *testing.T) [2]*entryServer {
	var announced []membership.Announcement
	// They share an address, so that many plays find a port.
	address := p.stand(t)
	for i := range drawnServers {
		name := fmt.Sprint("s", i)
		if p.kind == plainService {
			announced = append(announced, service(name, address, 0))
			continue
		}
		server := engineServer(name, address)
		server.Agent = p.kind == agentBefore
		announced = append(announced, server)
	}
	log := &lossyLog{claimLog: newClaimLog(), lose: p.lostClaims}
	var fronts [2]*entryServer
	for i := range min(len(fronts), 1+p.resends) {
		_, fronts[i] = newEntry(t, entry.Options{Claims: log}, newSource(announced...))
	}
	return fronts
}

// ask sends the call on a connection.
func (p *play) ask(conn net.Conn, reader *bufio.Reader, proto string) told {
	body := completion("x", 2, p.stream)
	switch p.call {
	case callModel, callModelBare:
		return askOn(conn, reader, proto, http.MethodPost, "/v1/completions", "", body)
	case callSafe:
		return askOn(conn, reader, proto, http.MethodPost, "/services/desk/again", "", "x")
	case callLook:
		return askOn(conn, reader, proto, http.MethodHead, "/services/desk/again", "", "")
	case callUnsafe:
		return askOn(conn, reader, proto, http.MethodPost, "/services/desk/once", "", "x")
	default:
		return askOn(conn, reader, proto, http.MethodPost, "/services/desk/once", "k", "x")
	}
}

func dial(t *testing.T, server *entryServer) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { drop(conn) })
	return conn, bufio.NewReader(conn)
}

// perform sends the call and its resends, each through another entry.
func (p *play) perform(t *testing.T) {
	fronts := p.stage(t)
	for n := range 1 + p.resends {
		conn, reader := dial(t, fronts[n%2])
		got := p.ask(conn, reader, p.proto)
		p.answers = append(p.answers, got)
		p.check(t, n)
		keeps := p.proto == "1.1" && !got.cut && !strings.EqualFold(got.header.Get("Connection"), "close")
		if keeps && n == p.resends {
			p.next(t, conn, reader)
		}
	}
}

func (p *play) ran() int {
	ran := 0
	for _, r := range p.seen() {
		if r.ran {
			ran++
		}
	}
	return ran
}

// check holds the n-th answer against what the servers did.
func (p *play) check(t *testing.T, n int) {
	t.Helper()
	got, ran := p.answers[n], p.ran()
	again := p.call != callUnsafe && p.call != callOnce
	if !again && ran > 1 || ran > maxAttempts {
		t.Errorf("%d servers ran it", ran)
	}
	switch name := got.header.Get("Run"); {
	case got.status == 0:
		t.Error("the connection ended without an answer, though the caller was there")
	case name == "":
		p.checkOwn(t, n)
	default:
		for _, r := range p.seen() {
			if r.name == name {
				p.checkRun(t, n, r)
				return
			}
		}
		t.Errorf("no run is named %q", name)
	}
}

// checkOwn: the entry's own answers are whole, and say "not run" only of what did
// not run.
func (p *play) checkOwn(t *testing.T, n int) {
	t.Helper()
	got := p.answers[n]
	object := strings.Contains(got.body, `"code":"`) || p.call == callLook
	if got.cut || got.status < 400 || !object {
		t.Errorf("the entry's own answer is %d %q, cut %v", got.status, got.body, got.cut)
	}
	notKept := strings.Contains(got.body, `"code":"answer_not_kept"`)
	switch said := got.header.Get(outcome.Header); {
	case said == "not-run" && p.ran() > 0:
		t.Errorf("told not run, and %d servers ran it", p.ran())
	case said == "answered" && (!notKept || p.ran() != 1):
		t.Errorf("told answered by %q, and %d servers ran it", got.body, p.ran())
	case said == "":
		t.Error("the caller is not told the outcome")
	}
}

// checkRun: a server's answer is that of one run: its status, its header, and its
// whole body or a beginning of it that does not look whole.
func (p *play) checkRun(t *testing.T, n int, r run) {
	t.Helper()
	got := p.answers[n]
	if got.outcome != outcome.Answered || got.status != r.status || !r.ran || r.deed == deedOther || r.deed == deedOdd {
		t.Errorf("told %v with %d, the run is %+v", got.outcome, got.status, r)
	}
	replayed := got.header.Get("Idempotent-Replayed") != ""
	if replayed != (n > 0 && p.answeredBefore(n)) {
		t.Errorf("answer %d: replayed %v", n, replayed)
	}
	if !got.cut {
		if got.body != r.body || !r.whole {
			t.Errorf("framed as whole: %q, the run is %+v", got.body, r)
		}
		if want := p.trailerOf(r); !replayed && got.trailer.Get("Checksum") != want {
			t.Errorf("the trailer is %v, want %q", got.trailer, want)
		}
		return
	}
	part, explained := strings.CutSuffix(got.body, explanation)
	inEvent := p.stream && r.status < 300 && part != "" && !strings.HasSuffix(part, "\n\n")
	if !strings.HasPrefix(r.body, part) || inEvent || explained && !(p.stream && r.status < 300) {
		t.Errorf("cut behind %q, the run is %+v", got.body, r)
	}
	// An engine's failure need not show its end.
	unshown := p.kind == bareEngine && r.framing == framingClose && r.status >= 400
	if p.kind != agentBefore && r.whole && !unshown || p.kind == agentBefore && r.whole && r.met == restGoOn {
		t.Errorf("cut behind %q, though the whole was there: %+v", got.body, r)
	}
}

// explanation is the event behind a cut stream.
const explanation = `data: {"error":{"message":"the answer could not be completed","type":"server_error","code":"unknown_outcome"}}` + "\n\n"

// answeredBefore reports whether an earlier answer came from a run.
func (p *play) answeredBefore(n int) bool {
	for _, earlier := range p.answers[:n] {
		if earlier.header.Get("Run") != "" {
			return true
		}
	}
	return false
}

// trailerOf is the trailer that a whole answer has, empty where it can have none.
func (p *play) trailerOf(r run) string {
	// The rest of an answer that was told by its connection comes in chunks.
	chunked := r.framing == framingChunked || r.framing == framingClose && r.asked > 0
	if r.trailer && chunked && p.proto == "1.1" && r.deed != deedEmpty && p.call != callLook {
		return r.name
	}
	return ""
}

// next asks for something else on the same connection.
func (p *play) next(t *testing.T, conn net.Conn, reader *bufio.Reader) {
	t.Helper()
	before := len(p.seen())
	p.mu.Lock()
	// Whatever was drawn beyond what the call met is left out.
	p.acts = p.acts[:min(before, len(p.acts))]
	p.mu.Unlock()
	var got told
	if p.kind == plainService {
		got = askOn(conn, reader, "1.1", http.MethodPost, "/services/desk/again", "", "y")
	} else {
		got = askOn(conn, reader, "1.1", http.MethodPost, "/v1/completions", "", completion("y", 2, p.stream))
	}
	runs := p.seen()
	if got.cut || len(runs) != before+1 || got.header.Get("Run") != runs[before].name || got.body != runs[before].body {
		t.Errorf("the next call on the connection got %+v, its servers did %v", got, runs[before:])
	}
}

// ends names how the play's answers ended, from the caller's sight.
func (p *play) ends() map[string]int {
	ends := make(map[string]int)
	runs := make(map[string]run)
	for _, r := range p.seen() {
		runs[r.name] = r
	}
	for _, got := range p.answers {
		ends[p.end(got, runs)]++
	}
	return ends
}

func (p *play) end(got told, runs map[string]run) string {
	r, found := runs[got.header.Get("Run")]
	framed := "stream"
	if !p.stream {
		framed = "plain"
	}
	switch {
	case !found:
		return "own answer, " + got.header.Get(outcome.Header)
	case got.header.Get("Idempotent-Replayed") != "":
		return "replayed answer"
	case r.status >= 400 && !got.cut:
		return "server's failure"
	case got.cut && r.asked > 0:
		return "cut " + framed + ", asked for its rest"
	case got.cut:
		return "cut " + framed
	case r.asked > 0:
		return "resumed " + framed
	case r.name != "run-0":
		return "whole " + framed + " of a later run"
	default:
		return "whole " + framed
	}
}

var drawnEnds = []string{
	"own answer, not-run", "own answer, unknown", "own answer, answered", "replayed answer", "server's failure",
	"cut stream", "cut plain", "cut stream, asked for its rest", "cut plain, asked for its rest",
	"resumed stream", "resumed plain", "whole stream", "whole plain", "whole stream of a later run", "whole plain of a later run",
}

// drawnSeeds are played in every run of the tests; DRAWN_SEEDS adds fresh ones.
const drawnSeeds = 800

// drawnFinds are fresh seeds that once showed a fault.
var drawnFinds = []uint64{17129374652440157774, 10253770484131410951, 17957575384985272122, 6925526352087033314}

// Servers and the agents before them answer, break off, fail, refuse, go silent,
// in any order and at each try; callers of both versions of HTTP send calls of
// each kind, some of them again. Whatever happens, a caller must be able to tell a
// whole answer from a part, and whose answer it is; what it is told of its call
// must be true; and nothing runs twice that must not.
func TestWhateverServersDoCallersCanTellWhatTheyGot(t *testing.T) {
	var mu sync.Mutex
	met := make(map[string]int)
	one := func(t *testing.T, seed uint64) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			t.Parallel()
			p := drawPlay(rand.New(rand.NewPCG(seed, 0)))
			p.perform(t)
			mu.Lock()
			defer mu.Unlock()
			for end, n := range p.ends() {
				met[end] += n
			}
			if t.Failed() {
				t.Log(p)
			}
		})
	}
	t.Run("plays", func(t *testing.T) {
		for seed := range uint64(drawnSeeds) {
			one(t, seed)
		}
		for _, seed := range drawnFinds {
			one(t, seed)
		}
		fresh, _ := strconv.Atoi(os.Getenv("DRAWN_SEEDS"))
		for range fresh {
			one(t, rand.Uint64())
		}
	})
	for _, end := range drawnEnds {
		if met[end] == 0 {
			t.Errorf("no drawn play has an answer that ends as: %s; the draw does not reach what it should", end)
		}
	}
	for end := range maps.Keys(met) {
		if met[end] > 0 && !strings.Contains(strings.Join(drawnEnds, "|"), end) {
			t.Errorf("an answer ends as: %s", end)
		}
	}
	t.Log(met)
}
