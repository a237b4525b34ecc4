package founding

import (
	"fmt"
	"testing"
	"time"
)

func process(address string, disk bool) Process {
	return Process{Address: address, Disk: disk, Member: "m-" + address}
}

func TestExactlyOneProcessFounds(t *testing.T) {
	all := []Process{process("10.0.0.1:1", false), process("10.0.0.2:1", true), process("10.0.0.3:1", true), process("10.0.0.4:1", true)}
	var founders []string
	for _, self := range all {
		chosen, found := Decide(View{Self: self, Bootstrap: true, Up: SettleTime, Known: all})
		if found {
			founders = append(founders, self.Address)
			if len(chosen) != 3 {
				t.Errorf("%s founds the log with %v, want all three with a disk", self.Address, chosen)
			}
		}
	}
	if len(founders) != 1 || founders[0] != "10.0.0.2:1" {
		t.Errorf("founders are %v, want only the lowest address with a disk", founders)
	}
}

// In each case a second log could be founded in addition to the first. Half of
// the entries would then follow one configuration and half another.
func TestNoProcessFoundsUnlessCertain(t *testing.T) {
	self := process("10.0.0.2:1", true)
	ready := View{Self: self, Bootstrap: true, Up: SettleTime, Known: []Process{process("10.0.0.3:1", true)}}
	if _, found := Decide(ready); !found {
		t.Fatal("the process that may found the log does not")
	}
	member := process("10.0.0.3:1", true)
	member.Cluster = "c"
	tests := []struct {
		name   string
		change func(*View)
	}{
		{"a later start", func(v *View) { v.Bootstrap = false }},
		{"no disk", func(v *View) { v.Self.Disk = false }},
		{"just started", func(v *View) { v.Up = SettleTime - 1 }},
		{"a seed is silent", func(v *View) { v.UnansweredSeeds = 1 }},
		{"another process belongs to a log", func(v *View) { v.Known = []Process{member} }},
		{"the process itself belongs to a log", func(v *View) { v.Self.Cluster = "c" }},
		{"a lower address has a disk", func(v *View) { v.Known = []Process{process("10.0.0.1:1", true)} }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := ready
			test.change(&v)
			if _, found := Decide(v); found {
				t.Error("the process founds a log")
			}
		})
	}
}

// More machines have a disk than the log may have members. The log must not grow
// with the deployment, and must not be in a single data centre.
func TestFoundersAreBoundedAndSpread(t *testing.T) {
	var all []Process
	for i := range 40 {
		p := process(fmt.Sprintf("10.0.%d.%02d:1", i/10, i%10), true)
		p.DataCentre = fmt.Sprint("dc", i/10)
		all = append(all, p)
	}
	founders, found := Decide(View{Self: all[0], Bootstrap: true, Up: SettleTime, Known: all[1:]})
	if !found || len(founders) != MaxMembers {
		t.Fatalf("founded = %v with %d members, want %d", found, len(founders), MaxMembers)
	}
	centres := make(map[string]int)
	for _, p := range founders {
		centres[p.DataCentre]++
	}
	for centre, n := range centres {
		if len(centres) != 4 || n > MaxMembers/2 {
			t.Errorf("%d of the members are in %s of %d data centres", n, centre, len(centres))
		}
	}
}

func TestFullLogOnlyReplacesMembers(t *testing.T) {
	m := Membership{Self: "0", Cluster: "c", ToleratedLosses: 1}
	for i := range MaxMembers {
		id := fmt.Sprint(i)
		m.Members = append(m.Members, voter(id, "a"+id))
		m.Known = append(m.Known, knownProcess(id, "a"+id, "c", 0))
	}
	m.Known = append(m.Known, knownProcess("spare", "b", "", 0))
	if got := NextChange(m); got.Kind != ChangeNone {
		t.Errorf("next is %+v, want none: the log is full", got)
	}
	m.Known[1] = knownProcess("1'", "a1", "", 0)
	if got := NextChange(m); got != (Change{ChangeAdd, "1'", "a1"}) {
		t.Errorf("next is %+v, want the member with the empty disk added again", got)
	}
	m.Known[1] = knownProcess("1", "a1", "c", lostAfter+time.Second)
	if got := NextChange(m); got != (Change{ChangeRemove, "1", "a1"}) {
		t.Errorf("next is %+v, want the lost member removed", got)
	}
}

func voter(id, address string) Member {
	return Member{ID: id, Address: address, Voter: true, CaughtUp: true}
}

func knownProcess(id, address, cluster string, silent time.Duration) KnownProcess {
	return KnownProcess{Process: Process{Address: address, Disk: true, Member: id, Cluster: cluster}, Silent: silent}
}

func healthy() Membership {
	return Membership{
		Self: "1", Cluster: "c", ToleratedLosses: 1,
		Members: []Member{voter("1", "a"), voter("2", "b"), voter("3", "d"), voter("4", "e")},
		Known:   []KnownProcess{knownProcess("2", "b", "c", 0), knownProcess("3", "d", "c", 0), knownProcess("4", "e", "c", 0)},
	}
}

func TestNextChange(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Membership)
		want   Change
	}{
		{"all members run", func(*Membership) {}, Change{}},
		{"one restarts", func(m *Membership) { m.Known[2].Silent = 5 * time.Second }, Change{}},
		{"one returned with an empty disk", func(m *Membership) { m.Known[2] = knownProcess("4'", "e", "", 0) }, Change{ChangeAdd, "4'", "e"}},
		{"its learner has caught up", func(m *Membership) {
			m.Known[2] = knownProcess("4'", "e", "c", 0)
			m.Members = append(m.Members, Member{ID: "4'", Address: "e", CaughtUp: true})
		}, Change{ChangePromote, "4'", "e"}},
		// The former member never votes again. Without it the log tolerates a
		// further loss, with it none.
		{"its learner lags, and the others tolerate a loss", func(m *Membership) {
			m.Known[2] = knownProcess("4'", "e", "c", 0)
			m.Members = append(m.Members, Member{ID: "4'", Address: "e"})
		}, Change{ChangeRemove, "4", "e"}},
		{"its learner lags, and the others tolerate none", func(m *Membership) {
			m.Known = []KnownProcess{m.Known[0], knownProcess("4'", "e", "c", 0)}
			m.Members = []Member{m.Members[0], m.Members[1], m.Members[3], {ID: "4'", Address: "e"}}
		}, Change{}},
		{"the new member is a voter", func(m *Membership) {
			m.Known[2] = knownProcess("4'", "e", "c", 0)
			m.Members = append(m.Members, voter("4'", "e"))
		}, Change{ChangeRemove, "4", "e"}},
		{"another machine was added", func(m *Membership) { m.Known = append(m.Known, knownProcess("5", "f", "", 0)) }, Change{ChangeAdd, "5", "f"}},
		{"a process of another log is known", func(m *Membership) { m.Known = append(m.Known, knownProcess("5", "f", "other", 0)) }, Change{}},
		{"one is silent for longer than lostAfter", func(m *Membership) { m.Known[2].Silent = lostAfter + time.Second }, Change{ChangeRemove, "4", "e"}},
		{"two are silent for longer than lostAfter", func(m *Membership) {
			m.Known[1].Silent, m.Known[2].Silent = lostAfter+time.Second, lostAfter+time.Second
		}, Change{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := healthy()
			test.change(&m)
			if got := NextChange(m); got != test.want {
				t.Errorf("next is %+v, want %+v", got, test.want)
			}
		})
	}
}
