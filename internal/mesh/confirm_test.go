package mesh

import (
	"os"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/document"
)

// waitUsable waits until a process uses a configuration, and returns its version.
func (f *fleet) waitUsable(i int) uint64 {
	f.t.Helper()
	var config *ActiveConfig
	eventually(f.t, func() bool {
		config = f.nodes[i].Documents().Current()
		return config.Usable()
	})
	return config.State.Version
}

// All processes stop. Of the two that restart first, one missed the last change; the other, without a disk, had it in
// force and now pulls the older state from the first. Neither may use that older state.
func TestRestartUsesNoOlderConfig(t *testing.T) {
	f := startFleet(t, 3, 1)
	eventually(t, func() bool { return f.voters(0) == 3 })
	f.put(0, 7)
	for i := range f.nodes {
		eventually(t, func() bool { return f.nodes[i].Documents().Current().State.Version == 7 })
	}
	f.stop(0)
	f.put(1, 9)
	for _, i := range []int{1, 2, 3} {
		eventually(t, func() bool { return f.nodes[i].Documents().Current().State.Version == 9 })
	}
	for i := range f.nodes {
		f.stop(i)
	}
	for _, i := range []int{0, 3} {
		f.start(i, false)
		eventually(t, func() bool { return f.nodes[i].Documents().Current().State.Version == 7 })
		if f.nodes[i].Documents().Current().Usable() {
			t.Errorf("process %d uses version 7 before it has confirmed that no newer one was in force", i)
		}
	}
	f.start(1, false)
	for _, i := range []int{0, 1, 3} {
		if got := f.waitUsable(i); got != 9 {
			t.Errorf("process %d uses version %d, want 9", i, got)
		}
	}
}

// The tolerated number of disks is lost, including the leader's, and all other machines stop at the same time,
// including those without a disk. The restarted processes must not use a configuration older than the acknowledged one.
func TestNoOlderConfigAfterDiskLossAndFullRestart(t *testing.T) {
	const disks, losses = 5, 2
	f := newFleet(t, disks, 2)
	f.losses = losses
	for i := range f.nodes {
		f.start(i, true)
	}
	eventually(t, func() bool { return f.voters(0) == disks })
	version := uint64(0)
	for range 2 {
		for range 3 {
			version++
			f.put(disks, version)
		}
		lost := 0
		for i := range f.nodes {
			if lost < losses && f.nodes[i] != nil && f.nodes[i].Self().Leads {
				f.wipe(i)
				lost++
			}
		}
		for i := 0; lost < losses; i++ {
			if f.nodes[i] != nil {
				f.wipe(i)
				lost++
			}
		}
		for i := range f.nodes {
			f.stop(i)
		}
		for i := range f.nodes {
			f.start(i, false)
		}
		for i := range f.nodes {
			if got := f.waitUsable(i); got != version {
				t.Errorf("process %d uses version %d, want the acknowledged %d", i, got, version)
			}
		}
		for i := range disks {
			eventually(t, func() bool { return f.nodes[i].host.isMember() && f.voters(i) == disks && f.allVotersRunning(i) })
		}
	}
}

// wipe stops a process and deletes its disk.
func (f *fleet) wipe(i int) {
	f.t.Helper()
	f.stop(i)
	if err := os.RemoveAll(f.folders[i]); err != nil {
		f.t.Fatal(err)
	}
}

// allVotersRunning reports whether each voter is a process that is running now.
func (f *fleet) allVotersRunning(i int) bool {
	for _, voter := range f.nodes[i].host.current.Load().Status().Config.Voters {
		found := false
		for _, n := range f.nodes {
			found = found || string(voter.ID) == n.Self().Member
		}
		if !found {
			return false
		}
	}
	return true
}

// A member of the log is cut off from the other members. It cannot know which changes they accept, and must not report
// its own state as the newest.
func TestNoFreshnessProofWithoutMajority(t *testing.T) {
	f := startFleet(t, 3, 1)
	f.put(0, 7)
	newest := func(i int) bool { return f.nodes[i].newestWithin(t.Context(), proofTimeout) }
	for _, i := range []int{0, 3} {
		eventually(t, func() bool { return newest(i) })
		if got := f.nodes[i].Documents().Current().State.Version; got != 7 {
			t.Errorf("process %d reports version %d as the newest, want 7", i, got)
		}
	}
	f.stop(1)
	f.stop(2)
	for _, i := range []int{0, 3} {
		if newest(i) {
			t.Errorf("process %d reports its configuration as the newest without a majority", i)
		}
	}
}

// The leader's disk is lost right after an acknowledgement, while all processes stop. If none of the remaining members
// knew that the change is committed, they would have to elect another leader before they could use any configuration.
func TestMajorityKnowsAcknowledgedChange(t *testing.T) {
	f := newFleet(t, 3, 1)
	// Half of it bounds the wait for a majority where a process without a log proposes.
	f.configure = func(m *Mesh) { m.forwardTimeout = time.Minute }
	for i := range f.nodes {
		f.start(i, true)
	}
	eventually(t, func() bool { return f.voters(0) == 3 })
	for version := uint64(1); version <= 20; version++ {
		f.put(int(version)%len(f.nodes), version)
		informed := 0
		for i := range 3 {
			if f.nodes[i].Documents().Current().State.Version >= version {
				informed++
			}
		}
		if informed < 2 {
			t.Fatalf("version %d is acknowledged but only %d of 3 members know of it", version, informed)
		}
	}
}

// A leader that was paused does not know whether another leader grants loads by now, or by which configuration.
func TestUnconfirmedLeaderGrantsNoLoads(t *testing.T) {
	f := startFleet(t, 3, 0)
	body := `{"Version":1,"Services":[{"Name":"llm","Engine":{"Models":[{"Name":"m"}]}}]}`
	eventually(t, func() bool {
		return f.nodes[0].Propose(t.Context(), document.Command{Put: &document.Put{Version: 1, Body: []byte(body)}}) == nil
	})
	var leader *node
	eventually(t, func() bool {
		for _, n := range f.nodes {
			if n.Self().Leads && n.Usable() && n.Documents().Current().State.Version == 1 {
				leader = n
			}
		}
		return leader != nil
	})
	request := func(p *permits) string {
		reply, err := p.handle(t.Context(), permitRequest{Service: "llm"})
		if err != nil {
			t.Fatal(err)
		}
		return reply.Model
	}
	p := newPermits(leader.Mesh)
	leader.Documents().Unconfirm()
	if model := request(p); model != "" {
		t.Errorf("an unconfirmed leader granted the load of %q", model)
	}
	leader.Documents().Confirm()
	// Another process may have become the leader.
	if model := request(p); leader.Self().Leads && model != "m" {
		t.Errorf("a confirmed leader granted %q, want m", model)
	}
}
