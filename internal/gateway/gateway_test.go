package gateway

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Many entries see the same servers fail. Their repeats together must stay within the limit of
// the deployment, or the remaining servers are overloaded.
func TestRepeatBudgetBoundAcrossEntries(t *testing.T) {
	options := Options{RepeatRatio: 0.2, RepeatSlack: 58, RepeatWindow: 10 * time.Second}
	now := time.Unix(1000, 0)
	for _, entries := range []int{1, 8, 40} {
		requests, repeats := 0, 0
		for range entries {
			b := newBudget(options, nil)
			b.observeEntries(entries)
			for range 200 {
				requests++
				b.credit("s", now)
				for b.take("s", now) {
					repeats++
				}
			}
		}
		if bound := options.RepeatRatio*float64(requests) + options.RepeatSlack; float64(repeats) > bound {
			t.Errorf("%d entries repeat %d of %d requests, the bound is %.0f", entries, repeats, requests, bound)
		}
		if repeats == 0 {
			t.Errorf("%d entries repeat no request", entries)
		}
	}
}

// With far more entries than the slack has repeats, all entries save up tokens during a long
// calm period, and then every server of a service fails at once. The saved tokens must not add
// up to more than the limit, regardless of the load.
func TestRepeatBudgetBoundAfterIdleTime(t *testing.T) {
	const entries, idleSeconds = 370, 60
	options := Options{RepeatRatio: 0.2, RepeatSlack: 58, RepeatWindow: 10 * time.Second}
	for _, rate := range []float64{0.05, 0.2, 0.5, 1, 2, 8} {
		repeats, requests := 0, 0
		for i := range entries {
			b := newBudget(options, nil)
			b.observeEntries(entries)
			spacing := time.Duration(float64(time.Second) / rate)
			now := time.Unix(1000, 0).Add(spacing * time.Duration(i) / entries)
			fails := time.Unix(1000+idleSeconds, 0)
			for ; now.Before(fails.Add(options.RepeatWindow)); now = now.Add(spacing) {
				b.credit("s", now)
				if now.Before(fails) {
					continue
				}
				requests++
				if b.take("s", now) {
					repeats++
				}
			}
		}
		bound := options.RepeatRatio*float64(requests) + options.RepeatSlack
		if float64(repeats) > bound {
			t.Errorf("at %.2f requests a second each, %d entries repeat %d of %d, the bound is %.0f", rate, entries, repeats, requests, bound)
		}
		if rate >= 2 && repeats < requests/20 {
			t.Errorf("at %.2f requests a second each only %d of %d are repeated", rate, repeats, requests)
		}
	}
}

// A server can fail some time after it received a request, and in that time the tokens beyond
// the entry's part of the slack decay. With more entries than the slack has repeats, no entry
// ever had a whole token left, and callers received every failure that a second server would
// have avoided.
func TestRepeatBudgetLastsUntilFailure(t *testing.T) {
	options := Options{RepeatRatio: 0.2, RepeatSlack: 60, RepeatWindow: 10 * time.Second}
	for _, entries := range []int{4, 30, 36, 40, 60, 120, 370} {
		for _, rate := range []float64{0.5, 1, 2, 4, 8} {
			for _, failAfter := range []time.Duration{0, 5 * time.Millisecond, 100 * time.Millisecond} {
				requests, repeats := 0, 0
				for i := range entries {
					r, n := countRepeats(options, entries, rate, failAfter, time.Duration(i))
					repeats += r
					requests += n
				}
				bound := options.RepeatRatio*float64(requests) + options.RepeatSlack
				if float64(repeats) > bound {
					t.Errorf("%d entries with %.1f requests a second each repeat %d of %d, the bound is %.0f", entries, rate, repeats, requests, bound)
				}
				if rate >= 2 && repeats < requests/20 {
					t.Errorf("%d entries with %.1f requests a second each that fail after %v repeat only %d of %d", entries, rate, failAfter, repeats, requests)
				}
			}
		}
	}
}

// countRepeats counts the repeats of one of many entries in a window in which all its requests
// fail, each with a delay, after a calm period.
func countRepeats(options Options, entries int, rate float64, failAfter, offset time.Duration) (repeats, requests int) {
	const idle = time.Minute
	b := newBudget(options, nil)
	b.observeEntries(entries)
	start := time.Unix(1000, 0)
	spacing := time.Duration(float64(time.Second) / rate)
	for at := offset; at < idle+options.RepeatWindow; at += spacing {
		b.credit("s", start.Add(at))
		if at < idle {
			continue
		}
		requests++
		if b.take("s", start.Add(at+failAfter)) {
			repeats++
		}
	}
	return repeats, requests
}

func TestRepeatBudgetIsPerService(t *testing.T) {
	b := newBudget(Options{RepeatRatio: 0.2, RepeatSlack: 10}, nil)
	now := time.Unix(1000, 0)
	for b.take("failing", now) {
	}
	if !b.take("healthy", now) {
		t.Error("a service whose servers are healthy has no repeat left")
	}
}

// A stream arrives in pieces that can end anywhere. Only complete events may be passed on, and
// the last ID must be that of the last complete event.
func TestEventBufferReturnsWholeEvents(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
	for _, end := range []string{"\n", "\r\n"} {
		stream := strings.ReplaceAll(events, "\n", end)
		for size := 1; size <= len(stream); size++ {
			var b eventBuffer
			var passed strings.Builder
			for at := 0; at < len(stream); at += size {
				piece := b.add([]byte(stream[at:min(at+size, len(stream))]))
				if len(piece) > 0 && !strings.HasSuffix(string(piece), end+end) {
					t.Fatalf("in pieces of %d: %q does not end with a complete event", size, piece)
				}
				passed.Write(piece)
			}
			if rest := "id: 3" + end + "da"; string(b.rest()) != rest || passed.String()+rest != stream || b.lastID("0") != "2" || !b.partial() {
				t.Errorf("in pieces of %d: passed %q, left %q, last ID %q", size, passed.String(), b.rest(), b.lastID("0"))
			}
		}
	}
	var empty eventBuffer
	if got := empty.lastID("7"); got != "7" {
		t.Errorf("without events the last ID is %q, want the previous one", got)
	}
}

// A stream may continue only after the last event that its caller has. Events arrive in any
// number of reads, and the first ones may have no ID.
func TestReplyFollows(t *testing.T) {
	tests := []struct {
		reads       []string
		resumeAfter string
		want        bool
	}{
		{[]string{"id: 4\ndata: d\n\nid: 1\n\n"}, "3", true},
		{[]string{"data: no id\n\nid: 4\n\n"}, "3", true},
		{[]string{": alive\n\n", "id: 4\n\n", "id: 1\n\n"}, "3", true},
		{[]string{": alive\n\n", "", "id: 1\n\n"}, "3", false},
		{[]string{"id: 3\ndata: c\n\nid: 4\n\n"}, "3", false},
		{[]string{"id:1\r\n\r\n"}, "3", false},
		{[]string{"id: 10\n\n"}, "9", true},
		{[]string{"id: x\n\n"}, "3", true},
		{[]string{"id: x\n\n"}, "x", false},
		{[]string{"id: 4\n\n"}, "x", true},
		{[]string{""}, "3", true},
		{[]string{"id: 1\n\n"}, "", true},
	}
	for _, test := range tests {
		r, got := &reply{resumeAfter: test.resumeAfter}, true
		for _, events := range test.reads {
			got = got && r.follows([]byte(events))
		}
		if got != test.want {
			t.Errorf("%q after event %s: %v, want %v", test.reads, test.resumeAfter, got, test.want)
		}
	}
}

// The connection of a request breaks at one server after another. A break counts against the
// request only if the server has ended; after three such servers the request is refused.
func TestStrikesCountOnlyEndedServers(t *testing.T) {
	m := mesh.New(mesh.Options{Self: mesh.Process{Address: "127.0.0.1:1", Entry: true}}, mesh.NewDocuments(nil, zap.NewNop()), zap.NewNop())
	g := New(Options{}, nil, m, zap.NewNop())
	call := &Call{Method: "POST", URI: "/x", Body: []byte("body")}
	now := time.Now()
	for _, id := range []string{"a", "b", "c"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		alive := roster.Server{ID: id, Born: 1, Sequence: 1, Service: "s", Address: listener.Addr().String()}
		if err := m.Announce(t.Context(), alive); err != nil {
			t.Fatal(err)
		}
		g.strikes.connBroken(brokenCall{call: call, server: newServer(roster.Entry{Server: alive}, nil)})
	}
	g.strikes.settle(now)
	if g.strikes.refused(call) {
		t.Fatal("the request is refused although all servers are running")
	}
	for _, id := range []string{"a", "b", "c"} {
		if err := m.Leave(t.Context(), id, 1); err != nil {
			t.Fatal(err)
		}
	}
	g.strikes.settle(now)
	if !g.strikes.refused(call) {
		t.Error("the request is not refused although three servers ended while running it")
	}
	other := *call
	other.Body = []byte("other")
	if g.strikes.refused(&other) || g.strikes.refused(&Call{Method: "GET", URI: "/x"}) {
		t.Error("another request is refused")
	}
}

// A resumable stream breaks long after its request arrived. Its caller waits for the next event
// as long as for the first one, so it must be resumed elsewhere.
func TestStartDeadlineOfResumedStream(t *testing.T) {
	now := time.Now()
	x := &exchange{
		route:   &route.Route{Kind: route.KindStream, Resumable: true, Target: time.Second, Gap: 300 * time.Millisecond},
		arrived: now.Add(-10 * time.Second), deadline: now.Add(20 * time.Second),
	}
	if !x.startDeadline().Before(now) {
		t.Error("a request that has had no event for 10 s may still start")
	}
	x.eventAt = now.Add(-100 * time.Millisecond)
	if deadline := x.startDeadline(); !deadline.After(now) || deadline.After(x.deadline) {
		t.Errorf("a stream with an event 100 ms ago may start until %s from now", deadline.Sub(now))
	}
	x.deadline = now.Add(time.Second)
	if deadline := x.startDeadline(); deadline.After(x.deadline) {
		t.Error("a stream may start after the deadline of its request")
	}
}

// Every entry watches every agent. The cost must not grow with the size of the deployment, and
// in a small deployment the state must stay fresh.
func TestWatchPausesBoundTotalRate(t *testing.T) {
	tests := []struct{ local, remote int }{{0, 0}, {5, 13}, {12, 38}, {150, 450}}
	for _, test := range tests {
		localPause, remotePause := watchPauses(test.local, test.remote)
		if localPause < watchPause || remotePause < remoteWatchPause {
			t.Errorf("%+v are watched every %s and %s, want at least watchPause and remoteWatchPause", test, localPause, remotePause)
		}
		answers := float64(test.local)/localPause.Seconds() + float64(test.remote)/remotePause.Seconds()
		if answers > maxLocalWatchRate+maxRemoteWatchRate+1 {
			t.Errorf("%+v answer %.0f times a second, the bound is %d", test, answers, maxLocalWatchRate+maxRemoteWatchRate)
		}
	}
	if localPause, remotePause := watchPauses(5, 13); localPause != watchPause || remotePause != remoteWatchPause {
		t.Errorf("agents of a small deployment are watched every %s and %s, want watchPause and remoteWatchPause", localPause, remotePause)
	}
}

// All agents of a large fleet restart at once. Failed watches must not be retried more often
// than successful ones are repeated, and must back off: otherwise the load keeps the agents from
// starting.
func TestFailedWatchRespectsRate(t *testing.T) {
	for _, engines := range []int{18, 600} {
		pause, _ := watchPauses(engines, 0)
		tries := 0
		for at := time.Duration(0); at < time.Minute; tries++ {
			at += retryPause(pause, at, 0.5)
		}
		if limit := int(time.Minute / pause); tries > limit || tries > 600/2 {
			t.Errorf("one of %d agents was watched %d times in a minute, want at most %d", engines, tries, limit)
		}
	}
}

// The agent's reply to a start request is lost. The request goes to another server and the
// agent must be notified; otherwise it reserves a slot for a request that never arrives.
func TestLostAdmitReplyReleasesStart(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	notified := make(chan wire.StartDone, 1)
	release := make(chan struct{})
	server := rpc.NewServer(map[string]rpc.Handler{
		wire.MethodStartAdmit: rpc.Typed(func(ctx context.Context, _ wire.StartRequest) (wire.StartReply, error) {
			<-release
			return wire.StartReply{Start: true}, nil
		}),
		wire.MethodStartDone: rpc.Typed(func(_ context.Context, in wire.StartDone) (wire.Empty, error) {
			notified <- in
			return wire.Empty{}, nil
		}),
	})
	go func() { _ = server.Serve(t.Context(), listener) }()
	t.Cleanup(func() {
		close(release)
		_ = listener.Close()
		server.Close()
	})
	a := &agentClient{client: rpc.NewClient(listener.Addr().String())}
	defer a.client.Close()
	if _, err := a.admit(t.Context(), wire.StartRequest{ID: "7", Attempt: 2}); err == nil {
		t.Fatal("a start was granted without a reply")
	}
	select {
	case in := <-notified:
		if in.ID != "7" || in.Attempt != 2 {
			t.Errorf("the agent was notified of %+v, want ID 7 and attempt 2", in)
		}
	case <-t.Context().Done():
		t.Error("the agent was not notified")
	}
}
