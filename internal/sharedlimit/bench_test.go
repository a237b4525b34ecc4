package sharedlimit

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/credit"
	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// benchTeams is the number of teams at the size to design for.
const benchTeams = 3000

// benchPeers are entries that are never called.
type benchPeers struct{ entries int }

func (benchPeers) Self() mesh.Process { return mesh.Process{Address: "e0", Entry: true} }
func (benchPeers) Connected() bool    { return true }
func (benchPeers) Ready() bool        { return true }

func (p benchPeers) Known() []mesh.Process {
	known := make([]mesh.Process, 0, p.entries)
	for i := range p.entries {
		known = append(known, mesh.Process{Address: fmt.Sprint("e", i), Entry: true})
	}
	return known
}

func (benchPeers) Call(context.Context, string, string, any, any) error { return nil }

// benchDocuments returns a configuration with teams, each of which has a key and a limit that is not reached.
func benchDocuments() *mesh.Documents {
	d := &route.Document{Version: 1, HasTeams: true}
	for i := range benchTeams {
		name := fmt.Sprint("team-", i)
		d.Teams = append(d.Teams, route.Team{Name: name, Keys: []contract.KeyDigest{contract.DigestKey("key of " + name)}, Unit: route.UnitTokens, Limit: credit.Limit{Rate: 1e12, Burst: 1e12}})
	}
	documents := mesh.NewDocuments(func([]byte) (*route.Document, error) { return d, nil }, zap.NewNop())
	documents.Apply(document.State{Index: 1, Version: 1, Body: json.RawMessage("{}")}, "bench")
	documents.Confirm()
	return documents
}

// BenchmarkAdmit measures what a request costs at an entry for its caller's key, its team and the team's limit.
func BenchmarkAdmit(b *testing.B) {
	documents := benchDocuments()
	l := New(Teams, credit.Options{Window: 8 * time.Second, OverRatio: 0.1, OverUnits: 11_000}, benchPeers{17}, TeamLimits(documents), zap.NewNop())
	for l.settledAt.IsZero() {
		l.refresh(b.Context())
		time.Sleep(20 * time.Millisecond)
	}
	keys := make([]string, benchTeams)
	for i := range keys {
		keys[i] = fmt.Sprint("key of team-", i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		team := documents.Current().Table.TeamByKey(contract.DigestKey(keys[i%benchTeams]))
		if !l.Admit(b.Context(), team.Name, 1500).Admitted {
			b.Fatal("refused")
		}
	}
}

// BenchmarkIdleTeams measures an exchange, at the entry that keeps the pool, while no team is used and all pools are full.
func BenchmarkIdleTeams(b *testing.B) {
	documents := benchDocuments()
	l := New(Teams, credit.Options{Window: 8 * time.Second}, benchPeers{1}, TeamLimits(documents), zap.NewNop())
	l.configure(time.Now())
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		pool := i % poolCount
		l.mu.Lock()
		if i < poolCount {
			fill := make([]credit.Transfer, 0, len(l.names[pool]))
			for _, team := range l.names[pool] {
				fill = append(fill, credit.Transfer{Name: team, Give: 1e12})
			}
			l.answerExchange(wire.CreditExchange{Pool: pool, Transfers: fill}, time.Now())
		}
		l.answerExchange(wire.CreditExchange{Pool: pool}, time.Now())
		l.mu.Unlock()
	}
}
