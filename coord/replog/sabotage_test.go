package replog

import (
	"math"
	"testing"
)

// sabotages are deliberate faults, each with the seed of a schedule that shows
// what it would do to a user.
var sabotages = []struct {
	name     string
	seed     uint64
	sabotage sabotage
}{
	{"a vote is sent before it is synced", 1170, sabotage{voteBeforeSync: true}},
	{"an entry is acknowledged before it is synced", 247, sabotage{ackBeforeSync: true}},
	{"a lost disk returns under its old identity", 2291, sabotage{lostDiskKeepsID: true}},
	{"an earlier term's entry is committed by counting", 68341, sabotage{core: faults{commitOldTerm: true}}},
	{"two membership changes run at once", 2118, sabotage{core: faults{concurrentChanges: true}}},
	{"a leader removes itself", 11083, sabotage{core: faults{removeLeader: true}}},
	{"a read is answered without a quorum", 31, sabotage{core: faults{unconfirmedRead: true}}},
}

// Someone who maintains the log breaks one of its rules, and nothing but the
// schedules would tell before a user loses an accepted change.
func TestSchedulesCatchDeliberateFaults(t *testing.T) {
	for _, s := range sabotages {
		t.Run(s.name, func(t *testing.T) {
			if failure := run(s.seed, s.sabotage); failure == "" {
				t.Errorf("seed %d shows nothing", s.seed)
			} else {
				t.Log(failure)
			}
			if failure := run(s.seed, sabotage{}); failure != "" {
				t.Errorf("seed %d without the fault: %s", s.seed, failure)
			}
		})
	}
}

// steadyWorld runs three members until they have a leader.
func steadyWorld(t *testing.T, s sabotage) (*schedule, *process) {
	t.Helper()
	w := &schedule{world: newWorld(1, 3, 1000, false, false, s)}
	w.settle()
	if w.failure != "" {
		t.Fatal(w.failure)
	}
	return w, w.leader()
}

func (w *schedule) pass(units int) {
	for range units {
		w.step()
	}
}

// returnOfFollower cuts a follower off for a while and reports the terms before
// and after its return.
func returnOfFollower(t *testing.T, s sabotage) (before, after uint64) {
	w, leader := steadyWorld(t, s)
	before = leader.node.term
	for _, p := range w.processes {
		if p != leader {
			w.isolate(p)
			break
		}
	}
	w.pass(1000)
	clear(w.cut)
	w.pass(500)
	if w.leader() == nil {
		t.Fatal("no leader")
	}
	return before, w.leader().node.term
}

// A control instance that was cut off comes back and calls for an election that
// nobody needs. Operators would see their changes refused for a moment each
// time a link heals.
func TestMemberThatWasCutOffDoesNotDeposeTheLeader(t *testing.T) {
	if before, after := returnOfFollower(t, sabotage{}); before != after {
		t.Errorf("the term went from %d to %d", before, after)
	}
	if before, after := returnOfFollower(t, sabotage{core: faults{noPreVote: true}}); before == after {
		t.Error("without pre-votes the leader should have been deposed")
	}
}

// A leader is silently cut off from the others. It must stop calling itself the
// leader, or operators who reach it wait for commits that cannot come.
func TestLeaderStepsDownWithoutQuorum(t *testing.T) {
	w, leader := steadyWorld(t, sabotage{})
	w.isolate(leader)
	w.pass((defaultElectionTicks + 2) * unitsPerTick)
	if leader.node.role == Leader {
		t.Error("the leader still leads")
	}
	if _, _, err := leader.node.Propose(nil); err != ErrNotLeader {
		t.Errorf("a proposal gives %v", err)
	}
}

// The leader's disk hangs without an error. The others would go on committing
// for it, but it could apply nothing, and its callers would wait for ever.
func TestLeaderWithAHangingDiskStepsDown(t *testing.T) {
	w, leader := steadyWorld(t, sabotage{})
	leader.swap()
	leader.work()
	leader.syncAt = math.MaxInt64
	w.pass((hangTimeouts + 4) * defaultElectionTicks * unitsPerTick)
	if next := w.leader(); next == nil || next == leader {
		t.Fatal("no other leader")
	}
	w.settle()
	if w.failure != "" {
		t.Error(w.failure)
	}
	if w.leader() == leader {
		t.Error("the hanging instance leads again")
	}
}

func TestTransferMakesTheTargetLeader(t *testing.T) {
	w, leader := steadyWorld(t, sabotage{})
	for _, target := range w.processes {
		if target == leader {
			continue
		}
		if err := leader.node.TransferLeadership(target.id); err != nil {
			t.Fatal(err)
		}
		leader.work()
		w.pass(200)
		if target.node.role != Leader {
			t.Errorf("%s is %s", target.id, target.node.role)
		}
		leader = target
	}
}

// The target of a transfer is cut off before it hears of it. Whoever relies on
// the leader's lease, such as the limits, must get it back in the same term.
func TestLeaseReturnsAfterATransferThatFailed(t *testing.T) {
	w, leader := steadyWorld(t, sabotage{})
	target := w.processes[0]
	if target == leader {
		target = w.processes[1]
	}
	w.isolate(target)
	if err := leader.node.TransferLeadership(target.id); err != nil {
		t.Fatal(err)
	}
	leader.work()
	w.pass(defaultElectionTicks * unitsPerTick / 2)
	if leader.node.Status().LeaseTicks > 0 {
		t.Error("there is a lease while the transfer may succeed")
	}
	w.pass(3 * defaultElectionTicks * unitsPerTick)
	if status := leader.node.Status(); status.Role != Leader || status.LeaseTicks == 0 {
		t.Errorf("%s with a lease of %d ticks", status.Role, status.LeaseTicks)
	}
}

// A control instance loses its disk and is replaced; then a second one is lost.
// Operators read from the status when that second loss is survivable.
func TestRepairRestoresRedundancy(t *testing.T) {
	w, leader := steadyWorld(t, sabotage{})
	expect := func(step string, survivable int) {
		t.Helper()
		w.pass(300)
		if got := leader.node.Status().Survivable; got != survivable {
			t.Errorf("%s: %d losses survivable, want %d", step, got, survivable)
		}
	}
	do := func(_, _ uint64, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		leader.work()
	}
	expect("healthy", 1)
	lost := w.processes[0]
	if lost == leader {
		lost = w.processes[1]
	}
	lost.crash()
	expect("one lost", 0)
	replacement := w.add("replacement")
	do(leader.node.AddLearner(Member{ID: replacement.id}))
	if _, _, err := leader.node.Promote(replacement.id); err != ErrChangePending {
		t.Errorf("promotion before the learner is committed: %v", err)
	}
	w.isolate(replacement)
	w.pass(100)
	if _, _, err := leader.node.Promote(replacement.id); err != ErrNotCaughtUp {
		t.Errorf("promotion of a learner that lacks the log: %v", err)
	}
	clear(w.cut)
	expect("learner", 0)
	do(leader.node.Remove(lost.id))
	expect("lost member removed", 0)
	do(leader.node.Promote(replacement.id))
	expect("replacement promoted", 1)
	if _, _, err := leader.node.Remove(replacement.id); err != ErrWouldLoseRedundancy {
		t.Errorf("removal of a healthy voter: %v", err)
	}
}
