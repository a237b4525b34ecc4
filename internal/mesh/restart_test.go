package mesh

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/coord/roster"
	"github.com/rosemarypass/rosemarypass/coord/suspicion"
)

// All processes stop at once and one restarts before the others. It must not route requests by an older configuration
// than the one it had in force, nor wait for a leader before it routes them.
func TestRestartedEntryKeepsConfig(t *testing.T) {
	const last = snapshotEntries + 12
	f := startFleet(t, 3, 0)
	eventually(t, func() bool { return f.voters(0) == 3 })
	for version := uint64(1); version <= last; version++ {
		f.put(0, version)
	}
	for i := range f.nodes {
		eventually(t, func() bool { return f.nodes[i].Documents().Current().State.Version == last })
	}
	for i := range f.nodes {
		f.stop(i)
	}
	for i := range f.nodes {
		f.start(i, false)
		eventually(t, func() bool { return f.nodes[i].Documents().Current().Table != nil })
		if got := f.nodes[i].Documents().Current().State.Version; got != last {
			t.Errorf("entry %d restarted with version %d, want %d", i, got, last)
		}
		f.stop(i)
	}
}

// An entry restarts, and the servers announce themselves again only a few tenths of a second later. The entry must know
// them immediately, or it refuses every request until then. A server that ended in the meantime must not stay
// listed for long.
func TestRestartedEntryKeepsServers(t *testing.T) {
	f := startFleet(t, 1, 0)
	serving := roster.Server{ID: "s", Born: 1, Sequence: 4, Service: "x", Address: "a:1", Models: []string{"m"}}
	left := roster.Server{ID: "gone", Born: 1, Sequence: 2, Service: "x", Address: "a:2"}
	for _, s := range []roster.Server{serving, left} {
		if err := f.nodes[0].Announce(context.Background(), s); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.nodes[0].Leave(context.Background(), left.ID, left.Born); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool {
		data, err := os.ReadFile(f.nodes[0].serversFile.path())
		return err == nil && bytes.Contains(data, []byte(`"gone":true`))
	})
	f.stop(0)
	f.start(0, false)
	known := f.nodes[0].Serving()
	if len(known) != 1 || known[0].ID != serving.ID || known[0].Models[0] != "m" {
		t.Fatalf("servers after the restart = %+v, want only s with model m", known)
	}
	left.Sequence = 3
	if err := f.nodes[0].Announce(context.Background(), left); err != nil || f.nodes[0].MayServe(left.ID) {
		t.Errorf("a late announcement restored a server that had left: err = %v", err)
	}
	if !f.nodes[0].DropDiskOnly(serving.ID) || len(f.nodes[0].Serving()) != 0 {
		t.Error("a server known only from the disk was not dropped")
	}
	serving.Sequence = 5
	if err := f.nodes[0].Announce(context.Background(), serving); err != nil || f.nodes[0].DropDiskOnly(serving.ID) {
		t.Errorf("DropDiskOnly dropped a server that has announced itself: err = %v", err)
	}
}

// A power loss leaves the servers file truncated. The entry must start nevertheless.
func TestTruncatedServersFileIsIgnored(t *testing.T) {
	f := newFleet(t, 1, 0)
	if err := os.MkdirAll(f.folders[0], 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(f.folders[0], "servers.json"), []byte(`[{"id":"s","bo`), 0o600); err != nil {
		t.Fatal(err)
	}
	f.start(0, true)
	if known := f.nodes[0].Serving(); len(known) != 0 {
		t.Errorf("servers from a truncated file = %+v, want none", known)
	}
	f.put(0, 1)
}

// An entry with a disk pulls a configuration from another entry before the commit is recorded in its own log, and
// restarts. It must still have that configuration.
func TestPulledConfigIsPersistedBeforeUse(t *testing.T) {
	f := startFleet(t, 2, 0)
	eventually(t, func() bool { return f.voters(0) == 2 })
	f.put(0, 7)
	f.stop(1)
	newer := f.nodes[0].Documents().Current().State
	newer.Index, newer.Version, newer.Body = newer.Index+10, 9, []byte(`{"Version":9}`)
	f.nodes[0].applyPulled(newer, "test")
	f.stop(0)
	f.start(0, false)
	eventually(t, func() bool { return f.nodes[0].Documents().Current().Table != nil })
	if got := f.nodes[0].Documents().Current().State.Version; got != 9 {
		t.Errorf("the entry restarted with version %d, want 9", got)
	}
}

// Two pulls end at the same time, the older one last: it must not overwrite the newer one on the disk.
func TestOlderPullDoesNotOverwriteNewer(t *testing.T) {
	w := newConfigWriter(t.TempDir(), zap.NewNop())
	w.timeout = time.Minute
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.run(ctx)
	w.persist(document.State{Index: 9, Version: 9})
	w.persist(document.State{Index: 7, Version: 7})
	if got := w.load().Version; got != 9 {
		t.Errorf("version %d is on disk, want 9", got)
	}
}

// A hung disk must not withhold a newer configuration from callers.
func TestHungDiskDoesNotBlockConfig(t *testing.T) {
	f := newFleet(t, 1, 0)
	m := New(Options{Self: Process{Address: f.addresses[0], Entry: true, Disk: true}, Folder: f.folders[0]}, NewDocuments(decode, zap.NewNop()), zap.NewNop())
	// The configWriter is not running, as if its first write never returned.
	m.configWriter.timeout = time.Millisecond
	for version := uint64(1); version <= 3; version++ {
		m.applyPulled(document.State{Index: version, Version: version, Body: []byte(`{}`)}, "test")
	}
	if got := m.Documents().Current().State.Version; got != 3 {
		t.Errorf("version %d is in force, want 3", got)
	}
}

// Processes restart together and ask each other for the configuration. A process that asks one without a configuration
// must go on to the next, and not wait there while a third one has it on its disk.
func TestRestartFindsConfigWithoutLeader(t *testing.T) {
	f := startFleet(t, 2, 2)
	eventually(t, func() bool { return f.voters(0) == 2 })
	f.put(0, 7)
	for i := range f.nodes {
		eventually(t, func() bool { return f.nodes[i].Documents().Current().State.Version == 7 })
	}
	for i := range f.nodes {
		f.stop(i)
	}
	// The other process with a disk stays down: there can be no leader.
	for _, i := range []int{3, 2, 0} {
		f.start(i, false)
	}
	for _, i := range []int{3, 2, 0} {
		eventually(t, func() bool { return f.nodes[i].Documents().Current().State.Version == 7 })
	}
}

// Guards against a request that ends three more servers, because all entries restarted at once and none remembered it.
func TestRestartedEntryRemembersRefusedRequests(t *testing.T) {
	const refused, suspected = 9, 10
	f := startFleet(t, 1, 0)
	for _, server := range []string{"a", "b", "c"} {
		f.nodes[0].Strike(suspicion.Strike{Fingerprint: refused, Server: server})
	}
	f.nodes[0].Strike(suspicion.Strike{Fingerprint: suspected, Server: "a"})
	eventually(t, func() bool {
		data, err := os.ReadFile(filepath.Join(f.folders[0], "strikes.json"))
		return err == nil && bytes.Contains(data, []byte(`"server":"c"`))
	})
	f.stop(0)
	m := New(Options{Self: Process{Address: f.addresses[0], Entry: true, Disk: true}, Folder: f.folders[0]}, NewDocuments(decode, zap.NewNop()), zap.NewNop())
	if !m.Refused(refused) || m.Refused(suspected) {
		t.Errorf("after a restart: refused %v, want true; the one with one strike refused %v, want false", m.Refused(refused), m.Refused(suspected))
	}
	// Of a time long past nothing is left.
	if err := os.WriteFile(filepath.Join(f.folders[0], "strikes.json"), []byte(`{"at":1,"strikes":[{"fingerprint":9,"server":"a"},{"fingerprint":9,"server":"b"},{"fingerprint":9,"server":"c"}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	m = New(Options{Self: Process{Address: f.addresses[0], Entry: true, Disk: true}, Folder: f.folders[0]}, NewDocuments(decode, zap.NewNop()), zap.NewNop())
	if m.Refused(refused) {
		t.Error("a request is refused for what was written long ago")
	}
}
