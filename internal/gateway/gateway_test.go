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

// Many entries see the same servers fail. What they repeat together must stay
// under the deployment's bound, or the repeats bury the servers that are left.
func TestAllEntriesTogetherKeepTheBoundOfRepeats(t *testing.T) {
	options := Options{RepeatRatio: 0.2, RepeatSlack: 58, RepeatWindow: 10 * time.Second}
	now := time.Unix(1000, 0)
	for _, entries := range []int{1, 8, 40} {
		requests, repeats := 0, 0
		for range entries {
			b := newBudget(options, nil)
			b.noteEntries(entries)
			for range 200 {
				requests++
				b.began("s", now)
				for b.take("s", now) {
					repeats++
				}
			}
		}
		if bound := options.RepeatRatio*float64(requests) + options.RepeatSlack; float64(repeats) > bound {
			t.Errorf("%d entries repeat %d of %d requests, the bound is %.0f", entries, repeats, requests, bound)
		}
		if repeats == 0 {
			t.Errorf("%d entries repeat nothing", entries)
		}
	}
}

// There are far more entries than the slack has repeats. All save up for a long
// calm time, then every server of a service fails at once. What was saved must
// not add up to more than the bound, whatever the load was.
func TestManyEntriesSaveUpNoMoreThanTheBound(t *testing.T) {
	const entries, calm = 370, 60
	options := Options{RepeatRatio: 0.2, RepeatSlack: 58, RepeatWindow: 10 * time.Second}
	for _, each := range []float64{0.05, 0.2, 0.5, 1, 2, 8} {
		repeats, requests := 0, 0
		for i := range entries {
			b := newBudget(options, nil)
			b.noteEntries(entries)
			spacing := time.Duration(float64(time.Second) / each)
			now := time.Unix(1000, 0).Add(spacing * time.Duration(i) / entries)
			fails := time.Unix(1000+calm, 0)
			for ; now.Before(fails.Add(options.RepeatWindow)); now = now.Add(spacing) {
				b.began("s", now)
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
			t.Errorf("at %.2f requests a second each, %d entries repeat %d of %d, the bound is %.0f", each, entries, repeats, requests, bound)
		}
		if each >= 2 && repeats < requests/20 {
			t.Errorf("at %.2f requests a second each only %d of %d are repeated", each, repeats, requests)
		}
	}
}

// A server fails some time after it was asked, and what its entry has saved up
// beyond its part of the slack fades meanwhile. With more entries than the slack
// has repeats, none of them ever had a whole repeat left, and callers got each
// failure that a second server would have made good.
func TestWhatIsSavedUpOutlastsTheTimeToAFailure(t *testing.T) {
	options := Options{RepeatRatio: 0.2, RepeatSlack: 60, RepeatWindow: 10 * time.Second}
	for _, entries := range []int{4, 30, 36, 40, 60, 120, 370} {
		for _, each := range []float64{0.5, 1, 2, 4, 8} {
			for _, after := range []time.Duration{0, 5 * time.Millisecond, 100 * time.Millisecond} {
				requests, repeats := 0, 0
				for i := range entries {
					r, n := repeatsOfOne(options, entries, each, after, time.Duration(i))
					repeats += r
					requests += n
				}
				bound := options.RepeatRatio*float64(requests) + options.RepeatSlack
				if float64(repeats) > bound {
					t.Errorf("%d entries with %.1f requests a second each repeat %d of %d, the bound is %.0f", entries, each, repeats, requests, bound)
				}
				if each >= 2 && repeats < requests/20 {
					t.Errorf("%d entries with %.1f requests a second each that fail after %v repeat only %d of %d", entries, each, after, repeats, requests)
				}
			}
		}
	}
}

// repeatsOfOne counts what one of many entries repeats in a window in which all
// its requests fail, some time after they began, behind a calm time.
func repeatsOfOne(options Options, entries int, each float64, after, offset time.Duration) (repeats, requests int) {
	const calm = time.Minute
	b := newBudget(options, nil)
	b.noteEntries(entries)
	start := time.Unix(1000, 0)
	spacing := time.Duration(float64(time.Second) / each)
	for at := offset; at < calm+options.RepeatWindow; at += spacing {
		b.began("s", start.Add(at))
		if at < calm {
			continue
		}
		requests++
		if b.take("s", start.Add(at+after)) {
			repeats++
		}
	}
	return repeats, requests
}

func TestServicesDoNotUseUpEachOthersRepeats(t *testing.T) {
	b := newBudget(Options{RepeatRatio: 0.2, RepeatSlack: 10}, nil)
	now := time.Unix(1000, 0)
	for b.take("failing", now) {
	}
	if !b.take("healthy", now) {
		t.Error("a service whose servers are healthy has no repeat left")
	}
}

// A stream comes in pieces that end anywhere. What is passed on must be whole
// events, and the last id that of the last whole one.
func TestEventsArePassedOnWhole(t *testing.T) {
	const lines = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
	for _, end := range []string{"\n", "\r\n"} {
		stream := strings.ReplaceAll(lines, "\n", end)
		for size := 1; size <= len(stream); size++ {
			var b eventBuffer
			var passed strings.Builder
			for at := 0; at < len(stream); at += size {
				piece := b.add([]byte(stream[at:min(at+size, len(stream))]))
				if len(piece) > 0 && !strings.HasSuffix(string(piece), end+end) {
					t.Fatalf("in pieces of %d: %q is not whole", size, piece)
				}
				passed.Write(piece)
			}
			if left := "id: 3" + end + "da"; string(b.rest()) != left || passed.String()+left != stream || b.lastID("0") != "2" || !b.half() {
				t.Errorf("in pieces of %d: passed %q, left %q, last id %q", size, passed.String(), b.rest(), b.lastID("0"))
			}
		}
	}
	var empty eventBuffer
	if got := empty.lastID("7"); got != "7" {
		t.Errorf("without events the last id is %q, want the one before", got)
	}
}

// A stream goes on only behind the last event that its caller has. Events come in
// any number of reads, and the first ones may have no id.
func TestEventsGoOn(t *testing.T) {
	tests := []struct {
		reads  []string
		behind string
		want   bool
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
		r, got := &reply{behind: test.behind}, true
		for _, events := range test.reads {
			got = got && r.goesOn([]byte(events))
		}
		if got != test.want {
			t.Errorf("%q behind %s: %v, want %v", test.reads, test.behind, got, test.want)
		}
	}
}

// A request breaks at server after server. Only where a server turns out to have
// ended does it count against the request; after three of them it is held.
func TestOnlyServersThatEndedCountAgainstARequest(t *testing.T) {
	m := mesh.New(mesh.Options{Self: mesh.Process{Address: "127.0.0.1:1", Entry: true}}, mesh.NewDocuments(nil, zap.NewNop()), zap.NewNop())
	g := New(Options{}, nil, m, zap.NewNop())
	call := &Call{Method: "POST", URI: "/x", Body: []byte("body")}
	now := time.Now()
	for _, id := range []string{"a", "b", "c"} {
		alive := roster.Server{ID: id, Born: 1, Sequence: 1, Service: "s", Address: id + ":1"}
		if err := m.Announce(t.Context(), alive); err != nil {
			t.Fatal(err)
		}
		g.strikes.broke(call, &server{entry: roster.Entry{Server: alive}})
	}
	g.strikes.settle(now)
	if g.strikes.held(call) {
		t.Fatal("the request is held although all servers go on")
	}
	for _, id := range []string{"a", "b", "c"} {
		if err := m.Leave(t.Context(), id, 1); err != nil {
			t.Fatal(err)
		}
	}
	g.strikes.settle(now)
	if !g.strikes.held(call) {
		t.Error("three servers ended under the request and it is not held")
	}
	other := *call
	other.Body = []byte("other")
	if g.strikes.held(&other) || g.strikes.held(&Call{Method: "GET", URI: "/x"}) {
		t.Error("another request is held")
	}
}

// A resumable stream breaks long after its request came. Its caller waits for
// the next event as long as for the first one, so it must go on elsewhere.
func TestAStreamThatBreaksLateMayGoOn(t *testing.T) {
	now := time.Now()
	j := &journey{
		route:   &route.Route{Kind: route.KindStream, Resumable: true, Target: time.Second, Gap: 300 * time.Millisecond},
		arrived: now.Add(-10 * time.Second), deadline: now.Add(20 * time.Second),
	}
	if !j.startBy().Before(now) {
		t.Error("a request without an event for 10 s may still start")
	}
	j.eventAt = now.Add(-100 * time.Millisecond)
	if by := j.startBy(); !by.After(now) || by.After(j.deadline) {
		t.Errorf("a stream with an event just now may go on until %s from now", by.Sub(now))
	}
	j.deadline = now.Add(time.Second)
	if by := j.startBy(); by.After(j.deadline) {
		t.Error("it may go on behind its deadline")
	}
}

// Every entry watches every agent. What that takes must not grow with the
// deployment; what a small one sees must stay fresh.
func TestWatchesOfManyAgentsShareABound(t *testing.T) {
	tests := []struct{ near, far int }{{0, 0}, {5, 13}, {12, 38}, {150, 450}}
	for _, test := range tests {
		near, far := watchPauses(test.near, test.far)
		if near < watchPause || far < watchPauseFar {
			t.Errorf("%+v are watched every %s and %s", test, near, far)
		}
		answers := float64(test.near)/near.Seconds() + float64(test.far)/far.Seconds()
		if answers > nearWatches+farWatches+1 {
			t.Errorf("%+v answer %.0f times a second, the bound is %d", test, answers, nearWatches+farWatches)
		}
	}
	if near, far := watchPauses(5, 13); near != watchPause || far != watchPauseFar {
		t.Errorf("a small deployment's agents are watched every %s and %s", near, far)
	}
}

// All agents of a large fleet restart at once. Watches that fail must not be tried more often than those that are
// answered, and ever more seldom: the agents would not come up under them.
func TestAWatchThatFailsKeepsToItsShare(t *testing.T) {
	for _, engines := range []int{18, 600} {
		near, _ := watchPauses(engines, 0)
		tries := 0
		for at := time.Duration(0); at < time.Minute; tries++ {
			at += retryPause(near, at, 0.5)
		}
		if most := int(time.Minute / near); tries > most || tries > 600/2 {
			t.Errorf("one of %d agents was tried %d times in a minute, %d times is its share", engines, tries, most)
		}
	}
}

// An agent's answer to a start is lost. The request goes elsewhere, and the agent must be told, or it would keep a place
// for what never comes.
func TestAnAgentWhoseAnswerToAStartIsLostIsToldThatItIsNotUsed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	told := make(chan wire.StartDone, 1)
	lost := make(chan struct{})
	server := rpc.NewServer(map[string]rpc.Handler{
		wire.MethodStartAdmit: rpc.Typed(func(ctx context.Context, _ wire.StartRequest) (wire.StartReply, error) {
			<-lost
			return wire.StartReply{Start: true}, nil
		}),
		wire.MethodStartDone: rpc.Typed(func(_ context.Context, in wire.StartDone) (wire.Empty, error) {
			told <- in
			return wire.Empty{}, nil
		}),
	})
	go func() { _ = server.Serve(t.Context(), listener) }()
	t.Cleanup(func() {
		close(lost)
		_ = listener.Close()
		server.Close()
	})
	a := &agentClient{client: rpc.NewClient(listener.Addr().String())}
	defer a.client.Close()
	if _, err := a.admit(t.Context(), wire.StartRequest{ID: "7", Try: 2}); err == nil {
		t.Fatal("a start was granted without an answer")
	}
	select {
	case in := <-told:
		if in.ID != "7" || in.Try != 2 {
			t.Errorf("the agent was told of %+v", in)
		}
	case <-t.Context().Done():
		t.Error("the agent was not told")
	}
}
