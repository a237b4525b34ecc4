package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/route"
)

// Guards against a server whose complete answer stays in flight, with its connection and its place at the agent, until a
// slow caller has read it; and against events that are lost, repeated or out of order on their way through the backlog.
func TestServerIsReleasedBeforeSlowCallerHasRead(t *testing.T) {
	for _, proto := range protos {
		t.Run(proto, func(t *testing.T) {
			g := newTestGateway(t, []http.HandlerFunc{streamOf(pieceEvents)})
			conn := callSlowly(t, serveCallers(t, g), proto, "r1")
			eventually(t, 5*time.Second, "a backlog", func() bool { _, streams := heldBytes(g); return streams == 1 })
			eventually(t, time.Second, "the release of the server", func() bool { return inflight(g) == 0 })
			if bytes, _ := heldBytes(g); bytes == 0 {
				t.Error("nothing is held although the caller has not read")
			}
			if g.UnderWay(1).Count != 1 {
				t.Error("the request does not count as under way: a stop would cut it off")
			}
			idle := 0
			g.servers.mu.Lock()
			for _, v := range g.servers.byID {
				idle += g.pool.Idle(targetOf(v))
			}
			g.servers.mu.Unlock()
			if idle != 1 {
				t.Errorf("%d connections to servers can be used again, want 1", idle)
			}
			ids, complete := readRest(t, conn)
			requireEvents(t, ids, pieceEvents)
			if !complete {
				t.Error("the answer is not complete")
			}
			eventually(t, time.Second, "the end of the request", func() bool { return g.UnderWay(1).Count == 0 })
			if bytes, streams := heldBytes(g); bytes != 0 || streams != 0 {
				t.Errorf("%d bytes of %d streams are still held", bytes, streams)
			}
		})
	}
}

// Guards against a caller that reads nothing for good and keeps a backlog until its deadline, against one that is cut
// before its 10 s are over, and against a cut that looks like a complete answer.
func TestCallerThatStopsReadingIsCut(t *testing.T) {
	for _, proto := range protos {
		t.Run(proto, func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t, []http.HandlerFunc{streamOf(pieceEvents)})
			address := serveCallers(t, g)
			conn, patient := callSlowly(t, address, proto, "r1"), callSlowly(t, address, proto, "r2")
			eventually(t, 5*time.Second, "two backlogs", func() bool { _, streams := heldBytes(g); return streams == 2 })
			began := time.Now()
			time.Sleep(9 * time.Second)
			if _, streams := heldBytes(g); streams != 2 {
				t.Fatalf("%d streams are held after 9 s, want 2", streams)
			}
			ids, complete := readRest(t, patient)
			requireEvents(t, ids, pieceEvents)
			if !complete {
				t.Error("a caller that read again after 9 s did not get the whole answer")
			}
			eventually(t, 3*time.Second, "the cut", func() bool { _, streams := heldBytes(g); return streams == 0 })
			if took := time.Since(began); took < 9500*time.Millisecond || took > 12*time.Second {
				t.Errorf("cut after %v, want 10 s", took)
			}
			if ids, complete := readRest(t, conn); complete || len(ids) == pieceEvents {
				t.Errorf("the cut caller got %d events, complete %v", len(ids), complete)
			}
		})
	}
}

// Guards against the cut of a caller that reads, however slowly: one that reads a byte a second is kept.
func TestCallerThatReadsAByteASecondIsKept(t *testing.T) {
	for _, proto := range protos {
		t.Run(proto, func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t, []http.HandlerFunc{streamOf(pieceEvents)})
			conn := callSlowly(t, serveCallers(t, g), proto, "r1")
			eventually(t, 5*time.Second, "a backlog", func() bool { _, streams := heldBytes(g); return streams == 1 })
			read := make([]byte, 0, 16)
			for range 13 {
				one := make([]byte, 1)
				if _, err := io.ReadFull(conn, one); err != nil {
					t.Fatal(err)
				}
				read = append(read, one...)
				time.Sleep(time.Second)
			}
			ids, complete := readRest(t, &prefixedConn{Conn: conn, reader: io.MultiReader(strings.NewReader(string(read)), conn)})
			requireEvents(t, ids, pieceEvents)
			if !complete {
				t.Error("the answer is not complete")
			}
		})
	}
}

// prefixedConn is a connection of which a part was read before.
type prefixedConn struct {
	net.Conn
	reader io.Reader
}

func (c *prefixedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Guards against the cut of a caller whose system shows that it reads, although no piece was written whole since.
func TestCallerWithVisibleProgressIsKept(t *testing.T) {
	g := newTestGateway(t, []http.HandlerFunc{streamOf(pieceEvents)})
	g.backlogs.stallTimeout = 2 * time.Second
	conn := callSlowly(t, serveCallers(t, g), "1.1", "r1")
	eventually(t, 5*time.Second, "a backlog", func() bool { _, streams := heldBytes(g); return streams == 1 })
	var read strings.Builder
	for range 6 {
		part := make([]byte, 5<<10)
		if _, err := io.ReadFull(conn, part); err != nil {
			t.Fatal(err)
		}
		read.Write(part)
		time.Sleep(time.Second)
	}
	ids, complete := readRest(t, &prefixedConn{Conn: conn, reader: io.MultiReader(strings.NewReader(read.String()), conn)})
	requireEvents(t, ids, pieceEvents)
	if !complete {
		t.Error("the answer is not complete")
	}
}

// Guards against a complete answer that is held for a slow caller beyond the request's deadline, although the caller reads.
func TestDeadlineEndsSlowDelivery(t *testing.T) {
	for _, proto := range protos {
		t.Run(proto, func(t *testing.T) {
			cuts := backlogCutCount.Value()
			g := newTestGateway(t, []http.HandlerFunc{streamOf(pieceEvents)})
			began := time.Now()
			conn := callPathSlowly(t, serveCallers(t, g), proto, "r1", "/brief/")
			eventually(t, time.Second, "the release of the server", func() bool { bytes, _ := heldBytes(g); return bytes > 0 && inflight(g) == 0 })
			for backlogCutCount.Value() == cuts && time.Since(began) < 5*time.Second {
				_, _ = io.ReadFull(conn, make([]byte, 1<<10))
				time.Sleep(100 * time.Millisecond)
			}
			if took := time.Since(began); took < 2900*time.Millisecond || took > 3500*time.Millisecond {
				t.Errorf("cut after %v, want 3 s", took)
			}
			eventually(t, time.Second, "the release of the bytes", func() bool { bytes, streams := heldBytes(g); return bytes == 0 && streams == 0 })
		})
	}
}

// Guards against answers that are no streams and are held for callers that read nothing, without a bound of bytes or time.
func TestWholeAnswerForSlowCallerIsBounded(t *testing.T) {
	for _, proto := range protos {
		t.Run(proto, func(t *testing.T) {
			const size = 1 << 20
			cuts := backlogCutCount.Value()
			g := newTestGateway(t, []http.HandlerFunc{respond(http.StatusOK, "Signed", strings.Repeat("x", size))})
			g.backlogs.stallTimeout = 2 * time.Second
			address := serveCallers(t, g)
			conn, patient := callPathSlowly(t, address, proto, "r1", "/look/"), callPathSlowly(t, address, proto, "r2", "/look/")
			eventually(t, time.Second, "what is held for both", func() bool { bytes, _ := heldBytes(g); return bytes == 2*size && inflight(g) == 0 })
			if used := g.memory.Used(); used != 0 {
				t.Errorf("%d bytes count as incomplete answers too", used)
			}
			response, err := http.ReadResponse(bufio.NewReader(patient), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if err != nil || len(body) != size || response.ContentLength != size {
				t.Errorf("got %d bytes, %v, want %d", len(body), err, size)
			}
			eventually(t, 4*time.Second, "the cut", func() bool { return backlogCutCount.Value() == cuts+1 })
			response, err = http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return
			}
			if body, err := io.ReadAll(response.Body); err == nil {
				t.Errorf("the cut answer looks complete with %d bytes", len(body))
			}
		})
	}
}

// Guards against a stream that breaks at its server while events are in the backlog: it must go on behind them, not behind
// what the caller has read.
func TestStreamIsResumedBehindBacklog(t *testing.T) {
	for _, proto := range protos {
		t.Run(proto, func(t *testing.T) {
			const broken = 80
			var mu sync.Mutex
			behind := ""
			held := make(chan struct{})
			g := newTestGateway(t, []http.HandlerFunc{
				func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Signed", "yes")
					sendEvents(w, 1, broken)
					<-held
					panic(http.ErrAbortHandler)
				},
				func(w http.ResponseWriter, r *http.Request) {
					mu.Lock()
					behind = r.Header.Get("Behind")
					mu.Unlock()
					w.Header().Set("Signed", "yes")
					sendEvents(w, broken+1, pieceEvents)
				},
			})
			proceed := sync.OnceFunc(func() { close(held) })
			// A server's Close waits for its handlers.
			t.Cleanup(proceed)
			conn := callSlowly(t, serveCallers(t, g), proto, "r1")
			eventually(t, 5*time.Second, "a backlog", func() bool { bytes, _ := heldBytes(g); return bytes > broken/2*eventBytes })
			proceed()
			eventually(t, 5*time.Second, "the end of the second server's answer", func() bool { return inflight(g) == 0 })
			ids, complete := readRest(t, conn)
			requireEvents(t, ids, pieceEvents)
			if !complete {
				t.Error("the answer is not complete")
			}
			mu.Lock()
			defer mu.Unlock()
			if behind != fmt.Sprint(broken) {
				t.Errorf("the stream was resumed behind event %q, want %d", behind, broken)
			}
		})
	}
}

// Guards against a stream that cannot go on and looks complete, or loses what the backlog held of it.
func TestBrokenStreamIsDeliveredAndCut(t *testing.T) {
	for _, proto := range protos {
		t.Run(proto, func(t *testing.T) {
			refuses := respond(http.StatusServiceUnavailable, "Not-Run", "full")
			held := make(chan struct{})
			g := newTestGateway(t, []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Signed", "yes")
				sendEvents(w, 1, pieceEvents)
				<-held
				panic(http.ErrAbortHandler)
			}, refuses})
			proceed := sync.OnceFunc(func() { close(held) })
			// A server's Close waits for its handlers.
			t.Cleanup(proceed)
			conn := callSlowly(t, serveCallers(t, g), proto, "r1")
			eventually(t, 5*time.Second, "a backlog", func() bool { bytes, _ := heldBytes(g); return bytes > pieceEvents/2*eventBytes })
			proceed()
			ids, complete := readRest(t, conn)
			if complete {
				t.Error("the broken stream looks complete")
			}
			if proto == "1.1" {
				// The reset of a connection of HTTP/1.0 may discard what was not received yet.
				requireEvents(t, ids, pieceEvents)
			}
		})
	}
}

// Guards against a stream that is longer than its backlog may be: its caller must see that it was cut, and its server be
// released.
func TestStreamOverItsBoundIsCut(t *testing.T) {
	for _, proto := range protos {
		t.Run(proto, func(t *testing.T) {
			cuts := backlogCutCount.Value()
			g := newTestGateway(t, []http.HandlerFunc{streamOf(400)})
			conn := callSlowly(t, serveCallers(t, g), proto, "r1")
			eventually(t, 5*time.Second, "the cut", func() bool { return backlogCutCount.Value() == cuts+1 })
			eventually(t, time.Second, "the release", func() bool { bytes, streams := heldBytes(g); return bytes == 0 && streams == 0 && inflight(g) == 0 })
			if ids, complete := readRest(t, conn); complete || len(ids) >= 400 {
				t.Errorf("the cut caller got %d events, complete %v", len(ids), complete)
			}
		})
	}
}

// Guards against many slow callers that together hold more than the entry may.
func TestSlowCallersTogetherStayWithinBound(t *testing.T) {
	const callers, bound = 40, 1 << 20
	g := newTestGateway(t, []http.HandlerFunc{streamOf(pieceEvents)})
	g.backlogs = newBacklogs(bound, g.log)
	cuts := backlogCutCount.Value()
	address := serveCallers(t, g)
	highest := int64(0)
	for i := range callers {
		callSlowly(t, address, protos[i%len(protos)], fmt.Sprint("r", i))
	}
	eventually(t, 10*time.Second, "the release of all servers", func() bool {
		bytes, _ := heldBytes(g)
		highest = max(highest, bytes)
		return inflight(g) == 0 && g.UnderWay(1).Ended+int64(g.UnderWay(1).Count) >= callers
	})
	if highest > bound || highest < bound/2 {
		t.Errorf("at most %d bytes were held, want up to %d", highest, bound)
	}
	if cut := backlogCutCount.Value() - cuts; cut == 0 || cut > callers-5 {
		t.Errorf("%d of %d streams were cut", cut, callers)
	}
}

// Guards against callers that read and pay for those that do not: with a goroutine for each stream, a copy of each event, or
// events that wait for the next.
func TestCallerThatReadsHasNoBacklog(t *testing.T) {
	slow := slowCallersCount.Value()
	sent, proceed := make(chan time.Time, 1), make(chan struct{})
	g := newTestGateway(t, []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "yes")
		for id := 1; id <= 20; id++ {
			sent <- time.Now()
			sendEvents(w, id, id)
			<-proceed
		}
	}})
	conn := callSlowly(t, serveCallers(t, g), "1.1", "r1")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(response.Body)
	for id := 1; id <= 20; id++ {
		at := <-sent
		for blank := false; !blank; {
			line, err := reader.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			blank = line == "\n"
		}
		if took := time.Since(at); took > defaultSlowAfter {
			t.Errorf("event %d took %v", id, took)
		}
		if id == 10 {
			// A pause of the server is not one of the caller.
			time.Sleep(3 * defaultSlowAfter)
			stacks := make([]byte, 1<<20)
			if stacks = stacks[:runtime.Stack(stacks, true)]; strings.Contains(string(stacks), "takeOver") {
				t.Error("a second goroutine reads for a caller that is not slow")
			}
		}
		proceed <- struct{}{}
	}
	if rest, err := io.ReadAll(reader); len(rest) > 0 || err != nil {
		t.Errorf("%d bytes and %v behind the last event", len(rest), err)
	}
	if slowCallersCount.Value() != slow {
		t.Error("the caller counts as slow")
	}
}

// Guards against a copy of events that are passed to a caller in time: the piece that is written must be the one that was
// read.
func TestEventsAreNotCopiedInTime(t *testing.T) {
	g := newTestGateway(t, []http.HandlerFunc{streamOf(1)})
	events := []byte(numberedEvent(1))
	x := &exchange{Gateway: g, ctx: t.Context(), cancel: func() {}}
	var passed []byte
	d := &delivery{x: x, pass: func(piece []byte) error { passed = piece; return nil }}
	if slow, err := d.write(events); slow || err != nil {
		t.Errorf("slow %v, %v", slow, err)
	}
	if &passed[0] != &events[0] {
		t.Error("the events were copied")
	}
	if allocated := testing.AllocsPerRun(100, func() { _, _ = d.write(events) }); allocated > 0 {
		t.Errorf("%v allocations for a piece that is taken in time, want none", allocated)
	}
}

// Guards against a backlog that keeps its bytes counted, or its server busy, after its caller has left.
func TestSlowCallerThatLeavesIsReleased(t *testing.T) {
	for _, proto := range protos {
		t.Run(proto, func(t *testing.T) {
			g := newTestGateway(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
				streamOf(pieceEvents)(w, r)
				<-r.Context().Done()
			}})
			conn := callSlowly(t, serveCallers(t, g), proto, "r1")
			eventually(t, 5*time.Second, "a backlog", func() bool { bytes, _ := heldBytes(g); return bytes > pieceEvents/2*eventBytes })
			_ = conn.Close()
			eventually(t, time.Second, "the release", func() bool {
				bytes, streams := heldBytes(g)
				return bytes == 0 && streams == 0 && inflight(g) == 0 && g.UnderWay(1).Count == 0
			})
		})
	}
}

// Guards against a write bound of a slow stream that applies to the next answer on the connection.
func TestConnectionServesNextRequestAfterSlowStream(t *testing.T) {
	g := newTestGateway(t, []http.HandlerFunc{streamOf(pieceEvents), streamOf(3)})
	conn := callSlowly(t, serveCallers(t, g), "1.1", "r1")
	eventually(t, 5*time.Second, "a backlog", func() bool { _, streams := heldBytes(g); return streams == 1 })
	reader := bufio.NewReader(conn)
	for _, want := range []int{pieceEvents, 3} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if got := strings.Count(string(body), "id: "); err != nil || got != want {
			t.Fatalf("%d events, %v, want %d", got, err, want)
		}
		if _, err := fmt.Fprint(conn, "GET /draft/ HTTP/1.1\r\nHost: h\r\nId: r2\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a panic behind the backlog that ends the process: it must end only its request.
func TestPanicWhileReadingForSlowCallerEndsItsRequest(t *testing.T) {
	g := newTestGateway(t, []http.HandlerFunc{streamOf(1)})
	g.backlogs.slowAfter = time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	x := &exchange{Gateway: g, ctx: ctx, cancel: cancel, deadline: time.Now().Add(time.Minute), route: g.mesh.Documents().Current().Table.Lookup("h", "/draft/")}
	// The source panics at its next read, as it has no server.
	source := &streamSource{x: x, r: &reply{}, events: []byte(numberedEvent(1)), passed: true}
	d := &delivery{x: x, source: source, pass: func([]byte) error { time.Sleep(50 * time.Millisecond); return nil }}
	defer func() {
		if reason := recover(); reason == nil || !strings.Contains(fmt.Sprint(reason), "streamSource") {
			t.Errorf("the panic %v does not tell where it came from", reason)
		}
	}()
	slow, err := d.write([]byte("piece"))
	if !slow {
		t.Fatal("the caller is not slow")
	}
	d.deliverBacklog(5, err)
}

// Guards against a team that has more room the more addresses it calls from, and against an address that is taken for a team.
func TestSlowStreamsCountTowardsTheirTeam(t *testing.T) {
	team := &route.Team{Name: "10.0.0.1"}
	first, second := ownerOf(&exchange{team: team, call: Call{Caller: "10.0.0.2"}}), ownerOf(&exchange{team: team, call: Call{Caller: "10.0.0.3"}})
	without, other := ownerOf(&exchange{call: Call{Caller: "10.0.0.1"}}), ownerOf(&exchange{call: Call{Caller: "10.0.0.2"}})
	if first != second || without == first || without == other {
		t.Errorf("got %q, %q, %q and %q", first, second, without, other)
	}
}

// BenchmarkWriteInTime measures what the watch of a write costs a caller that takes each piece in time.
func BenchmarkWriteInTime(b *testing.B) {
	x := &exchange{Gateway: &Gateway{backlogs: newBacklogs(0, zap.NewNop())}, ctx: b.Context(), cancel: func() {}}
	d := &delivery{x: x, pass: func([]byte) error { return nil }}
	events := []byte("piece")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = d.write(events)
	}
}
