package agent

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// view is what a reader got on one connection.
type view struct {
	sending, offset int
	// none is true when there was no whole header.
	none   bool
	status int
	said   string
	body   string
	// checksum is the trailer behind the body.
	checksum string
	// clean is true when the end was framed as such, left when the reader did not
	// wait for the end.
	clean, left bool
}

// connection sends bytes, reads the answer and leaves: behind limit bytes of
// all, or behind most bytes of the body; below 0 neither is a bound. With half
// the request itself is cut.
type connection struct {
	request string
	// sending is the number of the sending of the request, 0 for its rest.
	sending int
	offset  int
	limit   int
	most    int
	half    int
	// shut closes the own side behind the request, as one that left does.
	shut bool
}

func (c connection) leaves() bool { return c.limit >= 0 || c.most >= 0 || c.shut }

func (c connection) read(t *testing.T, address string) view {
	conn, err := net.Dial("unix", address)
	if err != nil {
		t.Error(err)
		return view{none: true}
	}
	defer conn.Close()
	if c.half > 0 {
		_, _ = io.WriteString(conn, c.request[:c.half])
		return view{none: true}
	}
	_, _ = io.WriteString(conn, c.request)
	if c.shut {
		_ = conn.(*net.UnixConn).CloseWrite()
	}
	source := io.Reader(conn)
	if c.limit >= 0 {
		source = io.LimitReader(conn, int64(c.limit))
	}
	response, err := http.ReadResponse(bufio.NewReader(source), nil)
	if err != nil {
		return view{none: true, offset: c.offset}
	}
	from := io.Reader(response.Body)
	if c.most >= 0 {
		from = io.LimitReader(from, int64(c.most))
	}
	body, err := io.ReadAll(from)
	return view{
		sending: c.sending, offset: c.offset, left: c.leaves(), status: response.StatusCode, said: response.Header.Get(outcome.Header), body: string(body), clean: err == nil && c.most < 0, checksum: response.Trailer.Get("Checksum"),
	}
}

// drawnPlay is one request of an entry, with all that happens to it.
type drawnPlay struct {
	*stage
	random *rand.Rand
	// joined is what the entry has of the present run, by all its connections.
	joined string
	// steps tell what was done, for a play that fails.
	steps []string
	// ends are the kinds of ends that the play met.
	ends map[string]bool
	// posts is how often the request was sent, refused are the sendings of which
	// the entry was told that they did not run.
	posts   int
	refused []int
	// readers counts the connections of the present run that brought bytes.
	readers int
	done    bool
}

func (p *drawnPlay) post() connection {
	p.posts++
	body := drawnBody(p.posts)
	return connection{sending: p.posts, request: fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: a\r\n%s: r1\r\n%s: m@1\r\nContent-Length: %d\r\n\r\n%s",
		wire.HeaderRequestID, wire.HeaderModel, len(body), body), limit: -1, most: -1}
}

func back(offset int) connection {
	return connection{request: fmt.Sprintf("GET %sr1?%s=%d HTTP/1.1\r\nHost: a\r\n\r\n", wire.PathRuns, wire.QueryOffset, offset), offset: offset, limit: -1, most: -1}
}

// leaving makes a reader leave at any byte of its answer, or stay.
func (p *drawnPlay) leaving(c connection) connection {
	switch p.random.IntN(8) {
	case 0:
		c.limit = p.random.IntN(300)
	case 1, 2:
		c.limit = p.random.IntN(3000)
	case 3:
		c.limit = p.random.IntN(700_000)
	case 4:
		// All of the body, and not its end.
		c.most = max(0, len(p.script[0].content())-c.offset)
	case 5:
		c.shut = true
	}
	return c
}

// offset draws where an entry comes back: behind what it has, mostly.
func (p *drawnPlay) offset() int {
	switch p.random.IntN(10) {
	case 0, 1:
		return p.random.IntN(len(p.joined) + 1)
	case 2:
		return len(p.joined) + p.random.IntN(100)
	default:
		return len(p.joined)
	}
}

// take reads by a connection, checks what came and joins it to what is there.
func (p *drawnPlay) take(t *testing.T, c connection) {
	p.steps = append(p.steps, fmt.Sprintf("%.4s at %d up to %d", c.request, c.offset, c.limit))
	p.judge(t, c.read(t, p.address))
}

// judge holds one reader's view against what the engine did.
func (p *drawnPlay) judge(t *testing.T, v view) {
	switch {
	case v.none:
	case v.said != outcome.Answered.String():
		p.judgeUnanswered(t, v)
	default:
		p.judgeAnswered(t, v)
	}
}

func (p *drawnPlay) judgeUnanswered(t *testing.T, v view) {
	said, err := outcome.Parse(v.said)
	if err != nil || v.status < http.StatusBadRequest {
		t.Errorf("%d without a word on what became of the request: %+v", v.status, v)
	}
	if said == outcome.NotRun && p.surelyRan(v.sending) {
		t.Errorf("the engine has it, and the entry is told that it was not run: %+v", v)
	}
	if said == outcome.NotRun && v.sending > 0 {
		p.refused = append(p.refused, v.sending)
	}
	p.ends[fmt.Sprintf("%s %d", v.said, v.status)] = true
}

// surelyRan reports whether a sending ran; for the rest of an answer, whose
// sending is 0, whether all did.
func (p *drawnPlay) surelyRan(sending int) bool {
	if sending > 0 {
		return p.ran(sending)
	}
	for n := range p.posts {
		if !p.ran(n + 1) {
			return false
		}
	}
	return true
}

func (p *drawnPlay) judgeAnswered(t *testing.T, v view) {
	if !v.clean && !v.left {
		p.ends["a reader was cut"] = true
	}
	if r := p.source(v); r == nil {
		t.Errorf("no run of the engine gave this: status %d, from %d, clean %v, %d bytes: %.300q", v.status, v.offset, v.clean, len(v.body), v.body)
		return
	}
	if p.done || v.offset > len(p.joined) {
		return
	}
	if v.body != "" && v.offset+len(v.body) > len(p.joined) {
		p.readers++
	}
	if joined := p.joined[:v.offset] + v.body; len(joined) >= len(p.joined) {
		p.joined = joined
	}
	if !v.clean {
		return
	}
	p.done = true
	r := p.source(view{status: v.status, body: p.joined, checksum: v.checksum, clean: true})
	switch {
	case r == nil:
		t.Errorf("what all readers got together ends as whole and is not: %d bytes: %.300q", len(p.joined), p.joined)
	case v.status >= http.StatusBadRequest:
		p.ends["failure passed on"] = true
	case p.readers > 1:
		p.ends["whole over several readers"] = true
	default:
		p.ends["whole"] = true
	}
	if v.offset > 0 && v.body == "" {
		p.ends["nothing left"] = true
	}
}

// source is the run of the engine that a view may be of.
func (p *drawnPlay) source(v view) *engineRun {
	for _, r := range p.reached() {
		content := r.content()
		if !r.relayed() || r.status != v.status || v.offset > len(content) {
			continue
		}
		if v.clean && r.whole() && v.body == content[v.offset:] && v.checksum == r.checksum() || !v.clean && strings.HasPrefix(content[v.offset:], v.body) {
			return r
		}
	}
	return nil
}

// pair lets two connections read at a time; only the later one is served.
func (p *drawnPlay) pair(t *testing.T) {
	one, two := p.leaving(back(len(p.joined))), p.leaving(back(p.offset()))
	held := p.held()
	if held {
		// The first is there, and the end is not, when the second comes.
		one = back(len(p.joined))
		two.offset = min(two.offset, len(p.joined))
		two = back(two.offset)
	}
	p.steps = append(p.steps, fmt.Sprintf("two readers at %d up to %d, at %d up to %d, held %v", one.offset, one.limit, two.offset, two.limit, held))
	var views [2]view
	var ended [2]chan struct{}
	before := p.attached()
	for i, c := range []connection{one, two} {
		ended[i] = make(chan struct{})
		go func() {
			defer close(ended[i])
			views[i] = c.read(t, p.address)
		}()
		for held && p.attached() < before+uint64(i)+1 {
			select {
			case <-ended[i]:
				held = false
			case <-time.After(time.Millisecond):
			}
		}
	}
	p.release()
	<-ended[0]
	<-ended[1]
	if held {
		p.ends["another reader took over"] = true
		if views[0].clean {
			t.Errorf("the reader that was taken over from came to a clean end: %+v", views[0])
		}
	}
	p.judge(t, views[0])
	p.judge(t, views[1])
}

// step does one drawn thing.
func (p *drawnPlay) step(t *testing.T) {
	switch p.random.IntN(12) {
	case 0:
		p.steps = append(p.steps, "cancel")
		connection{request: "DELETE " + wire.PathRuns + "r1 HTTP/1.1\r\nHost: a\r\n\r\n", limit: -1, most: -1}.read(t, p.address)
	case 1:
		// The entry gave the run up and sends the request again.
		p.joined, p.readers, p.done = "", 0, false
		p.release()
		p.take(t, p.leaving(p.post()))
	case 2:
		c := p.post()
		c.half = 1 + p.random.IntN(len(c.request)-1)
		p.steps = append(p.steps, fmt.Sprintf("half a request, %d bytes", c.half))
		c.read(t, p.address)
	case 3, 4, 5:
		p.pair(t)
	default:
		p.release()
		p.take(t, p.leaving(back(p.offset())))
	}
}

func playDrawn(t *testing.T, seed uint64, met map[string]int) {
	random := rand.New(rand.NewPCG(seed, 0))
	var script []*engineRun
	for n := range 6 {
		script = append(script, drawEngineRun(random, n))
	}
	p := &drawnPlay{stage: newStage(t, script), random: random, ends: make(map[string]bool)}
	first := p.leaving(p.post())
	if held := script[0].holdAt; held > 0 {
		first.limit, first.shut, first.most = -1, false, random.IntN(1+len(strings.Join(script[0].pieces[:held], "")))
	}
	p.take(t, first)
	for range random.IntN(5) {
		p.step(t)
	}
	p.release()
	if !p.done {
		p.take(t, back(len(p.joined)))
	}
	if !p.done && p.joined != "" {
		p.ends["a part"] = true
	}
	for _, sending := range p.refused {
		if p.ran(sending) {
			t.Errorf("sending %d ran behind the word that it did not", sending)
		}
	}
	p.mu.Lock()
	for _, body := range p.bodies {
		if !strings.HasPrefix(body, "{") || !strings.HasSuffix(body, "}") {
			t.Errorf("the engine was given %q", body)
		}
	}
	p.mu.Unlock()
	for end := range p.ends {
		met[end]++
	}
	if t.Failed() {
		t.Log(p.steps, p.reached())
	}
}

// drawnSeeds are played in every run of the tests; DRAWN_SEEDS adds fresh ones.
const drawnSeeds = 300

// An engine answers, breaks off at any byte, fails, answers by another model,
// says nothing. The connections of the entry end at any byte of a request or an
// answer; it comes back at any offset, on two connections at a time, cancels,
// or sends the request again. What all its connections brought together must be
// the engine's bytes in their order, and only behind all of them may an answer
// end as whole.
func TestWhateverBreaksAnEntryCanTellAPartFromTheWhole(t *testing.T) {
	met := make(map[string]int)
	one := func(seed uint64) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) { playDrawn(t, seed, met) })
	}
	for seed := range uint64(drawnSeeds) {
		one(seed)
	}
	fresh, _ := strconv.Atoi(os.Getenv("DRAWN_SEEDS"))
	for range fresh {
		one(rand.Uint64())
	}
	for _, end := range []string{
		"whole", "whole over several readers", "nothing left", "a part", "a reader was cut", "another reader took over", "failure passed on",
		"not-run 503", "unknown 502", "unknown 410", "unknown 404",
	} {
		if met[end] == 0 {
			t.Errorf("no drawn play ends with: %s; the draw does not reach what it should", end)
		}
	}
	t.Log(met)
}
