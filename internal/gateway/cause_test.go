package gateway

import (
	"context"
	"expvar"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/credit"
	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/coord/residency"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/sharedlimit"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// causeCounters returns the counters of answers and refusals, by name.
func causeCounters() map[string]int64 {
	counts := make(map[string]int64)
	expvar.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok && (strings.HasPrefix(kv.Key, "gateway_answered") || strings.HasPrefix(kv.Key, "gateway_refused") || strings.HasPrefix(kv.Key, "gateway_late")) {
			counts[kv.Key] = n.Value()
		}
	})
	return counts
}

// counted returns by how much counters have grown since causeCounters returned before.
func counted(before map[string]int64) map[string]int64 {
	grown := make(map[string]int64)
	for name, n := range causeCounters() {
		if n != before[name] {
			grown[name] = n - before[name]
		}
	}
	return grown
}

// watchLines makes the gateway log to the returned lines.
func watchLines(g *Gateway) *observer.ObservedLogs {
	core, lines := observer.New(zap.InfoLevel)
	g.log = zap.New(core)
	return lines
}

// checkLine checks the fields that lead to the cause in the last line of a text.
func checkLine(t *testing.T, lines *observer.ObservedLogs, msg string, want map[string]any) {
	t.Helper()
	found := lines.FilterMessage(msg).All()
	if len(found) == 0 {
		t.Fatalf("no line %q", msg)
	}
	fields := found[len(found)-1].ContextMap()
	for name, value := range want {
		if fmt.Sprint(fields[name]) != fmt.Sprint(value) {
			t.Errorf("%s: %s is %v, want %v", msg, name, fields[name], value)
		}
	}
}

// Guards against late answers that are counted under no cause or under two, and against answers that are counted under
// the rank of others.
func TestAnswersAreCountedByCauseAndRank(t *testing.T) {
	const target, gap = time.Second, 300 * time.Millisecond
	for _, test := range []struct {
		name         string
		first, pause time.Duration
		gap          time.Duration
		rank         int
		want         map[string]int64
		cause        cause
	}{
		{"in time", target, gap, gap, 0, map[string]int64{"gateway_answered": 1, "gateway_answered_rank_0": 1}, ""},
		{"the route allows any pause", target, time.Minute, 0, 1, map[string]int64{"gateway_answered": 1, "gateway_answered_rank_1": 1}, ""},
		{"first", target + 1, gap, gap, 2, map[string]int64{"gateway_answered": 1, "gateway_answered_rank_2": 1, "gateway_answered_late": 1, "gateway_late_first": 1}, causeLateFirst},
		{"pause", target, gap + 1, gap, 3, map[string]int64{"gateway_answered": 1, "gateway_answered_rank_3": 1, "gateway_answered_late": 1, "gateway_late_pause": 1}, causeLatePause},
		{"both", target + 1, gap + 1, gap, 9, map[string]int64{"gateway_answered": 1, "gateway_answered_rank_3": 1, "gateway_answered_late": 1, "gateway_late_both": 1}, causeLateBoth},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(t, []http.HandlerFunc{respond(http.StatusOK, "Signed", "body")})
			lines := watchLines(g)
			v := serverOf(t, g, "s0")
			x := &exchange{
				Gateway: g, ctx: t.Context(), arrived: time.Now(), deadline: time.Now().Add(time.Minute), first: test.first, longestGap: test.pause, rank: test.rank,
				call:  Call{ID: "r1", Method: http.MethodPost, URI: "/draft/", Host: "h", Header: http.Header{"Id": {"r1"}}},
				route: &route.Route{Name: "draft", Kind: route.KindStream, Target: target, Gap: test.gap}, service: &route.Service{Name: "desk"}, table: g.mesh.Documents().Current().Table,
			}
			reply, next := x.send(v)
			if next != stepDone {
				t.Fatal("the server did not answer")
			}
			x.slow = 2.5
			before := causeCounters()
			x.recordAnswer(reply)
			reply.response.Abort()
			reply.release()
			if got := counted(before); !maps.Equal(got, test.want) {
				t.Errorf("counted %v, want %v", got, test.want)
			}
			if test.cause != "" {
				checkLine(t, lines, "request answered late", map[string]any{"cause": test.cause, "rank": test.rank, "slowPercent": 250})
			}
		})
	}
}

// Guards against refusals whose line does not tell why, and against refusals by a team's limit that look like too few
// servers.
func TestRefusalsAreCountedByCauseAndRank(t *testing.T) {
	full := respond(http.StatusServiceUnavailable, "Not-Run", "full")
	for _, test := range []struct {
		name string
		// prepare changes the gateway before the request.
		prepare func(t *testing.T, g *Gateway)
		rank    int
		want    map[string]int64
		cause   cause
	}{
		{"all servers are full", func(*testing.T, *Gateway) {}, 0, map[string]int64{"gateway_refused": 1, "gateway_refused_rank_0": 1, "gateway_refused_no_room": 1}, causeNoRoom},
		{"no server is there", func(t *testing.T, g *Gateway) {
			serverOf(t, g, "s0")
			clear(g.servers.byService)
			g.startupQueue.started = time.Now().Add(-time.Hour)
		}, 1, map[string]int64{"gateway_refused": 1, "gateway_refused_rank_1": 1}, causeNoServer},
		{"no server can be reached", func(t *testing.T, g *Gateway) {
			for i := range 4 {
				v := serverOf(t, g, fmt.Sprint("s", i))
				e := *v.entry()
				e.Address = "127.0.0.1:1"
				v.announced.Store(&e)
			}
		}, 2, map[string]int64{"gateway_refused": 1, "gateway_refused_rank_2": 1}, causeNoServer},
		{"agents refuse the start", func(t *testing.T, g *Gateway) {
			agent := startAgent(t)
			agent.refuses = "too_late"
			for i := range 4 {
				serverOf(t, g, fmt.Sprint("s", i)).agent = agent.agentClient
			}
		}, 12, map[string]int64{"gateway_refused": 1, "gateway_refused_rank_3": 1, "gateway_refused_no_room": 1}, causeNoRoom},
		{"the entry stops", func(_ *testing.T, g *Gateway) {
			g.Stop()
			g.EndAdmission()
		}, 0, map[string]int64{"gateway_refused": 1, "gateway_refused_rank_0": 1}, causeStop},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(t, []http.HandlerFunc{full})
			lines := watchLines(g)
			test.prepare(t, g)
			g.mesh.Documents().Current().Table.Lookup("h", "/look/").Priority = test.rank
			before := causeCounters()
			recorder := httptest.NewRecorder()
			g.ServeHTTP(recorder, newPrompt("/look/"))
			if recorder.Code != http.StatusServiceUnavailable {
				t.Fatalf("got %d %q", recorder.Code, recorder.Body)
			}
			if got := counted(before); !maps.Equal(got, test.want) {
				t.Errorf("counted %v, want %v", got, test.want)
			}
			checkLine(t, lines, "request refused", map[string]any{"cause": test.cause, "rank": test.rank, "slowPercent": 0})
		})
	}
}

// Guards against a prompt that waits at an engine which holds it back for longer than its caller waits, and a refusal that is not counted as want of room.
func TestHopelessStartIsCountedAsNoRoom(t *testing.T) {
	g := newTestGateway(t, nil)
	lines := watchLines(g)
	v := newServer(roster.Entry{Server: roster.Server{ID: "e", Service: "llm"}}, &agentClient{})
	v.agent.setState(wire.EngineState{Known: true, DelayMillis: []int64{100}, SlowPercent: 250, HoldAbove: 100, HoldMillis: 3000})
	g.servers.start(t.Context())
	g.servers.byService["llm"] = []*server{v}
	x := &exchange{
		Gateway: g, ctx: t.Context(), arrived: time.Now(), deadline: time.Now().Add(time.Second), rank: 1, tried: make(map[string]bool), call: Call{ID: "r1", PromptTokens: 500},
		route: &route.Route{Name: "draft", Kind: route.KindSafe, Target: time.Second, Timeout: time.Second}, service: &route.Service{Name: "llm", Engine: &route.Engine{}},
	}
	before := causeCounters()
	x.run()
	if got, want := counted(before), (map[string]int64{"gateway_refused": 1, "gateway_refused_rank_1": 1, "gateway_refused_no_room": 1}); !maps.Equal(got, want) {
		t.Errorf("counted %v, want %v", got, want)
	}
	for _, line := range []string{"request not run", "request refused"} {
		checkLine(t, lines, line, map[string]any{"cause": causeNoRoom, "rank": 1, "slowPercent": 250})
	}
	checkLine(t, lines, "request not run", map[string]any{"holdAbove": 100, "hold": 3 * time.Second})
}

// Guards against a refusal by a team's limit that is not counted by its cause and rank.
func TestRefusalByTeamLimitIsCountedAsOverShare(t *testing.T) {
	team := route.Team{Name: "one", Keys: []contract.KeyDigest{contract.DigestKey("key")}, Unit: route.UnitTokens, Limit: credit.Limit{Rate: 1, Burst: 1}}
	documents := mesh.NewDocuments(func([]byte) (*route.Document, error) {
		return &route.Document{Version: 1, HasTeams: true, Teams: []route.Team{team}}, nil
	}, zap.NewNop())
	documents.Apply(document.State{Index: 1, Version: 1, Body: []byte("{}")}, "test")
	documents.Confirm()
	m := mesh.New(mesh.Options{Self: mesh.Process{Address: "127.0.0.1:1", Entry: true}}, documents, zap.NewNop())
	limits := sharedlimit.New(sharedlimit.Teams, credit.Options{Window: 8 * time.Second}, m, sharedlimit.TeamLimits(documents), zap.NewNop())
	g := New(Options{Limits: limits}, plainEdge{}, m, zap.NewNop())
	lines := watchLines(g)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	x := &exchange{Gateway: g, ctx: ctx, team: &team, rank: 2, deadline: time.Now().Add(time.Minute), call: Call{ID: "r1", PromptTokens: 1000}}
	before := causeCounters()
	if _, over := x.chargeTeam(); !over {
		t.Fatal("a request far over its team's limit was admitted")
	}
	if got, want := counted(before), (map[string]int64{"gateway_refused_over_share": 1, "gateway_refused_rank_2": 1}); !maps.Equal(got, want) {
		t.Errorf("counted %v, want %v", got, want)
	}
	checkLine(t, lines, "request over its team's limit", map[string]any{"cause": causeOverShare, "rank": 2, "slowPercent": 0})
}

// Guards against starts that agents refuse for other reasons and that are counted as want of room.
func TestCauseOfRefusedStart(t *testing.T) {
	known := wire.EngineState{Known: true}
	for _, test := range []struct {
		reply wire.StartReply
		want  cause
	}{
		{wire.StartReply{Reason: string(residency.ReasonFull), State: known}, causeNoRoom},
		{wire.StartReply{Reason: string(residency.ReasonBusy), Declined: true, State: known}, causeNoRoom},
		{wire.StartReply{Reason: string(residency.ReasonNotHeld), Declined: true, State: known}, causeNoRoom},
		{wire.StartReply{Reason: string(residency.ReasonLate), State: known}, causeNoRoom},
		{wire.StartReply{Reason: string(residency.ReasonLeaving), State: known}, causeNoServer},
		{wire.StartReply{Reason: string(residency.ReasonRestarted), State: known}, causeNoServer},
		{wire.StartReply{Reason: "engine_unknown"}, causeNoServer},
	} {
		if got := startCause(&test.reply); got != test.want {
			t.Errorf("%s: the cause is %s, want %s", test.reply.Reason, got, test.want)
		}
	}
}
