package replog

import (
	"math"
	"testing"
)

// faultCases are injected faults, each with the seed of a schedule in which the
// fault has an effect visible to clients.
var faultCases = []struct {
	name   string
	seed   uint64
	faults ioFaults
}{
	{"a vote is sent before it is synced", 1170, ioFaults{voteBeforeSync: true}},
	{"an entry is acknowledged before it is synced", 247, ioFaults{ackBeforeSync: true}},
	{"a lost disk returns under its old identity", 2291, ioFaults{lostDiskKeepsID: true}},
	{"an earlier term's entry is committed by counting", 68341, ioFaults{core: faults{commitOldTerm: true}}},
	{"two membership changes run at once", 2118, ioFaults{core: faults{concurrentChanges: true}}},
	{"a leader removes itself", 11083, ioFaults{core: faults{removeLeader: true}}},
	{"a read is answered without a quorum", 31, ioFaults{core: faults{unconfirmedRead: true}}},
}

// Each injected fault breaks one rule of the protocol, which could lose an accepted
// change. The schedules must detect it.
func TestSchedulesDetectInjectedFaults(t *testing.T) {
	for _, test := range faultCases {
		t.Run(test.name, func(t *testing.T) {
			if failure := run(test.seed, test.faults); failure == "" {
				t.Errorf("seed %d does not detect the fault", test.seed)
			} else {
				t.Log(failure)
			}
			if failure := run(test.seed, ioFaults{}); failure != "" {
				t.Errorf("seed %d without the fault: %s", test.seed, failure)
			}
		})
	}
}

// startCluster runs three members until they have a leader.
func startCluster(t *testing.T, f ioFaults) (*schedule, *process) {
	t.Helper()
	s := &schedule{simulation: newSimulation(1, 3, 1000, false, false, f)}
	s.heal()
	if s.failure != "" {
		t.Fatal(s.failure)
	}
	return s, s.leader()
}

func (s *schedule) advance(units int) {
	for range units {
		s.step()
	}
}

// rejoinFollower isolates a follower for a while and returns the terms before the
// isolation and after the follower has rejoined.
func rejoinFollower(t *testing.T, f ioFaults) (before, after uint64) {
	s, leader := startCluster(t, f)
	before = leader.node.term
	for _, p := range s.processes {
		if p != leader {
			s.isolate(p)
			break
		}
	}
	s.advance(1000)
	clear(s.cutLinks)
	s.advance(500)
	if s.leader() == nil {
		t.Fatal("no leader")
	}
	return before, s.leader().node.term
}

// An isolated member rejoins and starts an unnecessary election. Without pre-vote
// it would depose the leader, and changes would be refused during the election each
// time a link recovers.
func TestRejoiningMemberDoesNotDeposeLeader(t *testing.T) {
	if before, after := rejoinFollower(t, ioFaults{}); before != after {
		t.Errorf("term changed from %d to %d, want it unchanged", before, after)
	}
	if before, after := rejoinFollower(t, ioFaults{core: faults{noPreVote: true}}); before == after {
		t.Error("without pre-vote the leader was not deposed")
	}
}

// A leader is partitioned from the other members without an error. It must step
// down, otherwise clients connected to it wait for commits that cannot happen.
func TestLeaderStepsDownWithoutQuorum(t *testing.T) {
	s, leader := startCluster(t, ioFaults{})
	s.isolate(leader)
	s.advance((defaultElectionTicks + 2) * unitsPerTick)
	if leader.node.role == Leader {
		t.Error("isolated leader did not step down")
	}
	if _, _, err := leader.node.Propose(nil); err != ErrNotLeader {
		t.Errorf("proposal returned %v, want ErrNotLeader", err)
	}
}

// The leader's disk stalls without an error. The other members would continue to
// commit its entries, but it could not apply them, and its callers would wait
// forever.
func TestLeaderWithStalledDiskStepsDown(t *testing.T) {
	s, leader := startCluster(t, ioFaults{})
	leader.swap()
	leader.processReady()
	leader.syncAt = math.MaxInt64
	s.advance((stallTimeouts + 4) * defaultElectionTicks * unitsPerTick)
	if next := s.leader(); next == nil || next == leader {
		t.Fatal("no other member became leader")
	}
	s.heal()
	if s.failure != "" {
		t.Error(s.failure)
	}
	if s.leader() == leader {
		t.Error("the member with the stalled disk is leader again")
	}
}

func TestTransferMakesTargetLeader(t *testing.T) {
	s, leader := startCluster(t, ioFaults{})
	for _, target := range s.processes {
		if target == leader {
			continue
		}
		if err := leader.node.TransferLeadership(target.id); err != nil {
			t.Fatal(err)
		}
		leader.processReady()
		s.advance(200)
		if target.node.role != Leader {
			t.Errorf("%s is %s, want leader", target.id, target.node.role)
		}
		leader = target
	}
}

// The target of a transfer is isolated before it receives the request. Users of the
// leader's lease, such as quota enforcement, must get it back in the same term.
func TestLeaseReturnsAfterFailedTransfer(t *testing.T) {
	s, leader := startCluster(t, ioFaults{})
	target := s.processes[0]
	if target == leader {
		target = s.processes[1]
	}
	s.isolate(target)
	if err := leader.node.TransferLeadership(target.id); err != nil {
		t.Fatal(err)
	}
	leader.processReady()
	s.advance(defaultElectionTicks * unitsPerTick / 2)
	if leader.node.Status().LeaseTicks > 0 {
		t.Error("leader has a lease while the transfer may succeed")
	}
	s.advance(3 * defaultElectionTicks * unitsPerTick)
	if status := leader.node.Status(); status.Role != Leader || status.LeaseTicks == 0 {
		t.Errorf("%s with a lease of %d ticks, want leader with a lease", status.Role, status.LeaseTicks)
	}
}

// A member loses its disk and is replaced. The status must report when the cluster
// can tolerate the loss of a second member.
func TestRepairRestoresRedundancy(t *testing.T) {
	s, leader := startCluster(t, ioFaults{})
	expect := func(step string, survivable int) {
		t.Helper()
		s.advance(300)
		if got := leader.node.Status().Survivable; got != survivable {
			t.Errorf("%s: Survivable is %d, want %d", step, got, survivable)
		}
	}
	do := func(_, _ uint64, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		leader.processReady()
	}
	expect("healthy", 1)
	lost := s.processes[0]
	if lost == leader {
		lost = s.processes[1]
	}
	lost.crash()
	expect("one lost", 0)
	replacement := s.add("replacement")
	do(leader.node.AddLearner(Member{ID: replacement.id}))
	if _, _, err := leader.node.Promote(replacement.id); err != ErrChangePending {
		t.Errorf("promotion before the learner's entry is committed: %v, want ErrChangePending", err)
	}
	s.isolate(replacement)
	s.advance(100)
	if _, _, err := leader.node.Promote(replacement.id); err != ErrNotCaughtUp {
		t.Errorf("promotion of a learner that has not caught up: %v, want ErrNotCaughtUp", err)
	}
	clear(s.cutLinks)
	expect("learner", 0)
	do(leader.node.Remove(lost.id))
	expect("lost member removed", 0)
	do(leader.node.Promote(replacement.id))
	expect("replacement promoted", 1)
	if _, _, err := leader.node.Remove(replacement.id); err != ErrWouldLoseRedundancy {
		t.Errorf("removal of a healthy voter: %v, want ErrWouldLoseRedundancy", err)
	}
}
