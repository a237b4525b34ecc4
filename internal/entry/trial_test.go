package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/entry"
	"github.com/rosemarypass/rosemarypass/internal/standin/engine"
)

// suspicionLog replaces the replicated log and the feed of its changes.
type suspicionLog struct {
	mu        sync.Mutex
	index     uint64
	table     *suspicion.Table
	followers []*fixedSource
}

func (l *suspicionLog) Suspect(_ context.Context, command suspicion.Command) (suspicion.Verdict, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	verdict, changed := l.table.Apply(l.index, command, time.Now())
	for _, follower := range l.followers {
		follower.config.Apply([]state.Change{{Index: l.index, Suspects: changed}}, l.index)
	}
	return verdict, nil
}

const (
	crashingPrompt = "crash"
	otherCallers   = 12
)

// One quote request crashes every engine that runs it while other callers' drafts
// run there, and a floor terminal resends it through another entry each time. Every
// crash delays all drafts on that engine.
func TestCrashingRequestCrashesAtMostTwoServers(t *testing.T) {
	log := &suspicionLog{table: suspicion.NewTable(suspicion.DefaultLimits)}
	var engines []*engine.Engine
	var announced []membership.Announcement
	for i := range 4 {
		e := engine.New(engine.Options{BaseModel: baseModel, Slots: 2, TokenTime: time.Millisecond, CrashMarker: crashingPrompt})
		name := fmt.Sprintf("floor-%d", i)
		_, address := startReportingAgent(t, name, e.Handler(), log)
		engines, announced = append(engines, e), append(announced, engineServer(name, address))
	}
	var entries []*entryServer
	for range 2 {
		from := newSource(announced...)
		log.followers = append(log.followers, from)
		_, server := newEntry(t, entry.Options{Suspicions: log}, from)
		entries = append(entries, server)
	}
	var callers sync.WaitGroup
	for i := range otherCallers {
		callers.Go(func() {
			for range 6 {
				got := call(t, entries[i%2], http.MethodPost, "/v1/completions", "", completion(fmt.Sprint("draft ", i), 60, true))
				if got.status == http.StatusUnprocessableEntity {
					t.Errorf("other caller %d was refused: %s", i, got.body)
				}
			}
		})
	}
	refused := 0
	for i := range 8 {
		got := call(t, entries[i%2], http.MethodPost, "/v1/completions", "", completion(crashingPrompt, 5, false))
		if got.status == http.StatusUnprocessableEntity {
			refused++
		}
		if got.outcome == outcome.Answered {
			t.Errorf("the crashing request was answered: %d %s", got.status, got.body)
		}
	}
	callers.Wait()
	crashes := 0
	for _, e := range engines {
		for _, ran := range e.Started() {
			if ran.Prompt == fmt.Sprintf("%q", crashingPrompt) {
				crashes++
			}
		}
	}
	if crashes != 2 || refused == 0 {
		t.Errorf("got %d crashes and %d refusals of 8 requests, want 2 crashes and at least one refusal", crashes, refused)
	}
}
