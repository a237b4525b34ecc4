package mesh

import (
	"os"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/document"
)

// usable waits until a process acts by a configuration, and returns its version then.
func (f *fleet) usable(i int) uint64 {
	f.t.Helper()
	var in *InForce
	eventually(f.t, func() bool {
		in = f.nodes[i].Documents().Current()
		return in.Usable()
	})
	return in.State.Version
}

// Everything stops. Of those that are back first, one missed the last change, and one without a disk, which had it in
// force, takes what the other holds.
func TestARestartedProcessActsByNothingOlderThanWhatWasInForce(t *testing.T) {
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
			t.Errorf("process %d acts by version 7, 9 was in force", i)
		}
	}
	f.start(1, false)
	for _, i := range []int{0, 1, 3} {
		if got := f.usable(i); got != 9 {
			t.Errorf("process %d acts by version %d, 9 was in force", i, got)
		}
	}
}

// As many disks are lost as may be, the leader's among them, and all other machines stop at the same moment, those
// without a disk too.
func TestNothingOlderIsInForceAfterDisksAreLostWhileAllElseStops(t *testing.T) {
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
			if got := f.usable(i); got != version {
				t.Errorf("process %d acts by version %d, %d was acknowledged", i, got, version)
			}
		}
		for i := range disks {
			eventually(t, func() bool { return f.nodes[i].host.takesPart() && f.voters(i) == disks && f.whole(i) })
		}
	}
}

// wipe stops a process and loses its disk.
func (f *fleet) wipe(i int) {
	f.t.Helper()
	f.stop(i)
	if err := os.RemoveAll(f.folders[i]); err != nil {
		f.t.Fatal(err)
	}
}

// whole is true when each voter is a process that runs now.
func (f *fleet) whole(i int) bool {
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

// A member of the log is cut off from the other ones. It cannot know what they accept meanwhile, and must not say that
// what it holds is the newest.
func TestAProcessWithoutAMajorityKnowsOfNoNewest(t *testing.T) {
	f := startFleet(t, 3, 1)
	f.put(0, 7)
	newest := func(i int) bool { return f.nodes[i].newestWithin(t.Context(), proofTimeout) }
	for _, i := range []int{0, 3} {
		eventually(t, func() bool { return newest(i) })
		if got := f.nodes[i].Documents().Current().State.Version; got != 7 {
			t.Errorf("process %d takes version %d for the newest, 7 was acknowledged", i, got)
		}
	}
	f.stop(1)
	f.stop(2)
	for _, i := range []int{0, 3} {
		if newest(i) {
			t.Errorf("process %d takes what it holds for the newest", i)
		}
	}
}

// The leader's disk is lost right behind an acknowledgement, while everything stops. Those that are left would have to
// elect another leader before they act by anything, if none of them knew that the change is committed.
func TestAMajorityKnowsOfAnAcknowledgedChange(t *testing.T) {
	f := startFleet(t, 3, 1)
	eventually(t, func() bool { return f.voters(0) == 3 })
	for version := uint64(1); version <= 20; version++ {
		f.put(int(version)%len(f.nodes), version)
		know := 0
		for i := range 3 {
			if f.nodes[i].Documents().Current().State.Version >= version {
				know++
			}
		}
		if know < 2 {
			t.Fatalf("version %d is acknowledged and %d of 3 members know of it", version, know)
		}
	}
}

// A leader that has stood still does not know whether another one grants loads meanwhile, or by which configuration.
func TestALeaderWithoutAProofGrantsNoLoads(t *testing.T) {
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
	grants := func(p *permits) string {
		reply, err := p.take(t.Context(), permitRequest{Service: "llm"})
		if err != nil {
			t.Fatal(err)
		}
		return reply.Model
	}
	p := newPermits(leader.Mesh)
	leader.Documents().Doubt()
	if model := grants(p); model != "" {
		t.Errorf("a leader without a proof has granted the load of %q", model)
	}
	leader.Documents().Confirm()
	// Another one may lead by now.
	if model := grants(p); leader.Self().Leads && model != "m" {
		t.Errorf("a leader with a proof has granted %q", model)
	}
}
