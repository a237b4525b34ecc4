package mesh

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/streamversion"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
)

var errOutOfStep = errors.New("out of step")

// startBesideStale starts entries that know one version, of which the last one then hears of nothing new, while its own
// greetings are answered: to itself it looks connected, as after a pause in which messages from before it waited. A
// second version begins to serve at the others.
func startBesideStale(t *testing.T, disks, others int) (f *fleet, stale int) {
	t.Helper()
	f = newFleet(t, disks, others)
	stale = disks + others - 1
	var outOfStep atomic.Bool
	f.handlers = func(m *Mesh, handlers map[string]rpc.Handler) {
		if m.options.Self.Address != f.addresses[stale] {
			return
		}
		for _, method := range []string{methodSync, methodPersistVersion, methodTellStreams} {
			handle := handlers[method]
			handlers[method] = func(ctx context.Context, params json.RawMessage) (any, error) {
				if outOfStep.Load() {
					return nil, errOutOfStep
				}
				return handle(ctx, params)
			}
		}
	}
	for i := range f.nodes {
		f.start(i, true)
	}
	f.awaitConnected()
	f.announceVersion(0, "a", "v1")
	f.awaitVersions(1)
	outOfStep.Store(true)
	f.announceVersion(0, "b", "v2")
	for i := range stale {
		eventually(t, func() bool { return len(f.nodes[i].KnownVersions(streamService).Versions) == 2 })
	}
	if versions := f.nodes[stale].KnownVersions(streamService).Versions; len(versions) != 1 {
		t.Fatalf("the entry that is out of step knows versions %v", versions)
	}
	return f, stale
}

// Guards against a stream of a second version that goes on at the first one, as the entry at which its caller takes it up was out of step while servers of the second version joined.
func TestEntryOutOfStepJoinsNoVersions(t *testing.T) {
	for name, sizes := range map[string][2]int{"with a disk": {4, 0}, "without a disk": {3, 1}, "no entry with a disk": {0, 4}} {
		t.Run(name, func(t *testing.T) {
			f, stale := startBesideStale(t, sizes[0], sizes[1])
			f.recordStream(1, "second", "v2")
			for i := range 20 {
				for _, attempt := range []string{"second", "unknown"} {
					q := f.nodes[stale].StreamVersion(t.Context(), attempt, streamService)
					decision := streamversion.Decide(q)
					// A stream without a record began at the first version, if most disks say that it was the only one.
					first := attempt == "unknown" && decision.Version == "v1" && q.Only == "v1" && len(q.Versions) == 2
					if decision.Verdict == streamversion.AnyServer || decision.Verdict == streamversion.OneVersion && decision.Version != "v2" && !first {
						t.Fatalf("try %d: the stream %q goes on by %+v, by %+v", i, attempt, decision, q)
					}
				}
			}
			f.awaitVersionOf(stale, "second", "v2")
		})
	}
}

// Guards against a stream that goes on at any server while this process is cut off from most disks, and cannot know which versions serve.
func TestEntryCutOffFromDisksIsNotSure(t *testing.T) {
	f := startFleet(t, 3, 2)
	f.awaitConnected()
	f.announceVersion(0, "a", "v1")
	f.awaitVersions(1)
	eventually(t, func() bool {
		return streamversion.Decide(f.nodes[4].StreamVersion(t.Context(), "any", streamService)).Verdict == streamversion.AnyServer
	})
	f.stop(1)
	f.stop(2)
	if q := f.nodes[4].StreamVersion(t.Context(), "any", streamService); !streamversion.Decide(q).MayChange() {
		t.Errorf("without two of three disks it decides by %+v", q)
	}
}

// Guards against a process that stood still, or was cut off, for so long that it counts no other process with a disk, and takes itself for most of them.
func TestLongPauseLeavesNoProcessSureAlone(t *testing.T) {
	f := startFleet(t, 3, 0)
	f.awaitConnected()
	f.announceVersion(0, "a", "v1")
	f.awaitVersions(1)
	f.stop(1)
	f.stop(2)
	f.nodes[0].mu.Lock()
	for _, q := range f.nodes[0].peers {
		q.lastHeard = time.Now().Add(-2 * silentRetention)
		q.lastHeardAny = q.lastHeard
	}
	f.nodes[0].mu.Unlock()
	if !f.nodes[0].Connected() {
		t.Fatal("it does not look connected to itself, so that the test shows nothing")
	}
	if q := f.nodes[0].StreamVersion(t.Context(), "any", streamService); !streamversion.Decide(q).MayChange() {
		t.Errorf("alone it decides by %+v", q)
	}
}
