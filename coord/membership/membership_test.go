package membership_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
)

const lease = 2 * time.Second

var start = time.Unix(1_000, 0)

func announcement(server string, sequence uint64) membership.Announcement {
	return membership.Announcement{Server: server, Kind: membership.KindEngine, Address: server + ":1", Incarnation: 1, Sequence: sequence}
}

func leaving(server string, sequence uint64) membership.Announcement {
	a := announcement(server, sequence)
	a.Leaving = true
	return a
}

func newDirectory(epoch uint64) *membership.Directory {
	return membership.NewDirectory(membership.Options{Lease: lease, MaxServers: 8}, epoch, start)
}

func mustAnnounce(t interface{ Fatal(...any) }, d *membership.Directory, a membership.Announcement, now time.Time) {
	if err := d.Announce(a, now); err != nil {
		t.Fatal(err)
	}
}

func names(servers []membership.Announcement) []string {
	all := make([]string, 0, len(servers))
	for _, s := range servers {
		all = append(all, s.Server)
	}
	slices.Sort(all)
	return all
}

// A server announces that it is leaving and stops. An earlier announcement is
// delayed and arrives later, before or after the server's lease expires. Accepting
// it would route requests to a server that is gone.
func TestDelayedAnnouncementIsRefused(t *testing.T) {
	d := newDirectory(1)
	mustAnnounce(t, d, leaving("a", 5), start)
	if err := d.Announce(announcement("a", 4), start); err != membership.ErrStale {
		t.Errorf("before the lease expired: %v", err)
	}
	gone := start.Add(lease)
	d.Expire(gone)
	if err := d.Announce(announcement("a", 4), gone); err != membership.ErrStale {
		t.Errorf("after the lease expired: %v, want ErrStale", err)
	}
	restarted := announcement("a", 1)
	restarted.Incarnation = 2
	mustAnnounce(t, d, restarted, gone)
}

// One or all control instances restart with an empty directory. An entry that
// applied the empty directory would refuse every request until the servers
// announce themselves again.
func TestRestartedControlInstanceDoesNotEmptyTheView(t *testing.T) {
	old, view := newDirectory(1), membership.NewView()
	mustAnnounce(t, old, announcement("a", 1), start)
	mustAnnounce(t, old, announcement("b", 1), start)
	view.Apply(old.Delta(0, 0, start), start)

	restarted := newDirectory(2)
	mustAnnounce(t, restarted, announcement("a", 2), start)
	view.Apply(restarted.Delta(view.Epoch(), view.Version(), start), start)
	if got := names(view.Servers()); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("while the instance is not warm: %v, want a and b", got)
	}
	warm := start.Add(lease)
	mustAnnounce(t, restarted, announcement("a", 3), warm.Add(-1))
	restarted.Publish(warm)
	view.Apply(restarted.Delta(view.Epoch(), view.Version(), warm), warm)
	if got := names(view.Servers()); !slices.Equal(got, []string{"a"}) {
		t.Errorf("once it is warm: %v, want a", got)
	}
}

// An entry switches to a control instance that has not yet received the notice that
// a server is leaving. The entry would otherwise select that server again and send
// it requests that it refuses.
func TestLaggingControlInstanceDoesNotUndoLeave(t *testing.T) {
	ahead, behind, view := newDirectory(1), newDirectory(2), membership.NewView()
	mustAnnounce(t, ahead, leaving("a", 2), start)
	mustAnnounce(t, behind, announcement("a", 1), start)
	view.Apply(ahead.Delta(0, 0, start), start)
	view.Apply(behind.Delta(view.Epoch(), view.Version(), start), start)
	if servers := view.Servers(); !servers[0].Leaving {
		t.Errorf("got %+v, want a server that is leaving", servers)
	}
}

func TestAnnouncementsAreBounded(t *testing.T) {
	cases := map[string]func(*membership.Announcement){
		"no server":         func(a *membership.Announcement) { a.Server = "" },
		"bad name":          func(a *membership.Announcement) { a.Server = "a b" },
		"unknown kind":      func(a *membership.Announcement) { a.Kind = "disk" },
		"long pool":         func(a *membership.Announcement) { a.Pool = strings.Repeat("p", 129) },
		"no address":        func(a *membership.Announcement) { a.Address = "" },
		"long address":      func(a *membership.Announcement) { a.Address = strings.Repeat("1", 257) },
		"many slots":        func(a *membership.Announcement) { a.Slots = 1025 },
		"many residents":    func(a *membership.Announcement) { a.Load.Resident = make([]catalogue.Ref, 1025) },
		"many loading":      func(a *membership.Announcement) { a.Load.Loading = make([]catalogue.Ref, 1025) },
		"unnamed residents": func(a *membership.Announcement) { a.Load.Resident = make([]catalogue.Ref, 1) },
	}
	for name, invalidate := range cases {
		a := announcement("a", 1)
		invalidate(&a)
		if err := newDirectory(1).Announce(a, start); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
	d := newDirectory(1)
	for i := range 8 {
		mustAnnounce(t, d, announcement(fmt.Sprint("s", i), 1), start)
	}
	if err := d.Announce(announcement("one-more", 1), start); err != membership.ErrFull {
		t.Errorf("a ninth server: %v, want ErrFull", err)
	}
}

// Each server reports its load several times a second; daemons must receive one
// update for each publication.
func TestLoadsAreCoalesced(t *testing.T) {
	d, view := newDirectory(1), membership.NewView()
	mustAnnounce(t, d, announcement("a", 1), start)
	view.Apply(d.Delta(0, 0, start), start)
	before := d.Version()
	for sequence := uint64(2); sequence < 6; sequence++ {
		a := announcement("a", sequence)
		a.Load.Running = int(sequence)
		mustAnnounce(t, d, a, start)
	}
	if d.Version() != before {
		t.Error("a load report changed the version")
	}
	d.Publish(start)
	delta := d.Delta(view.Epoch(), view.Version(), start)
	if len(delta.Loads) != 1 || len(delta.Joined) != 0 || delta.Whole {
		t.Errorf("delta is %+v, want only one load", delta)
	}
	view.Apply(delta, start)
	if got := view.Servers()[0].Load.Running; got != 5 {
		t.Errorf("running = %d, want 5", got)
	}
}

// The use of an adapter decays with every report, even without requests. An idle
// fleet must not cause updates to every daemon.
func TestDecayDoesNotChangeVersion(t *testing.T) {
	d := newDirectory(1)
	a := announcement("a", 1)
	a.Load.VictimUse = 0.501
	mustAnnounce(t, d, a, start)
	before := d.Version()
	a.Sequence, a.Load.VictimUse = 2, 0.499
	mustAnnounce(t, d, a, start)
	d.Publish(start)
	if d.Version() != before {
		t.Error("the version changed")
	}
}

// After random announcements, expiries and deltas, the view must contain exactly
// the directory's servers and their last loads.
func TestViewAgreesWithDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		directories := []*membership.Directory{newDirectory(1), newDirectory(2)}
		view, sequence := membership.NewView(), uint64(0)
		var followed *membership.Directory
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			sequence++
			a := announcement(fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "server")), sequence)
			a.Leaving = rapid.Bool().Draw(t, "leaving")
			a.Load.Running = rapid.IntRange(0, 2).Draw(t, "running")
			a.Load.Resident = rapid.SampledFrom([][]catalogue.Ref{nil, {{Adapter: "x", Version: "1"}}}).Draw(t, "resident")
			followed = directories[rapid.IntRange(0, 1).Draw(t, "directory")]
			mustAnnounce(t, followed, a, now)
			if rapid.Bool().Draw(t, "publish") {
				followed.Publish(now)
			}
			if rapid.Bool().Draw(t, "poll") {
				view.Apply(followed.Delta(view.Epoch(), view.Version(), now), now)
			}
		}
		// After one lease, reports of the other directory no longer have any effect.
		live := followed.Live()
		now = now.Add(lease)
		for _, a := range live {
			sequence++
			a.Sequence = sequence
			mustAnnounce(t, followed, a, now)
		}
		followed.Publish(now)
		view.Apply(followed.Delta(view.Epoch(), view.Version(), now), now)
		want := followed.Live()
		got := view.Servers()
		if !slices.Equal(names(got), names(want)) {
			t.Fatalf("servers %v, want %v", names(got), names(want))
		}
		for _, w := range want {
			i := slices.IndexFunc(got, func(g membership.Announcement) bool { return g.Server == w.Server })
			if got[i].Leaving != w.Leaving || got[i].Load.Running != w.Load.Running || len(got[i].Load.Resident) != len(w.Load.Resident) {
				t.Fatalf("%s: load %+v, want %+v", w.Server, got[i].Load, w.Load)
			}
		}
	})
}
