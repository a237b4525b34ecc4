package replog

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
)

const (
	scheduleUnits = 2500
	// healUnits is the time limit for electing a leader and committing an entry
	// after all faults have ended.
	healUnits     = 1500
	probeUnits    = 100
	unknownOutput = math.MaxUint64
	schedules     = 4000
	shards        = 8
)

// register is the sequential specification of a register whose swap returns the
// previous value.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		o := input.(operation)
		if o.read {
			return output == state, state
		}
		return output == uint64(unknownOutput) || output == state, o.swap
	},
}

// schedule runs a simulation with seeded random faults.
type schedule struct {
	*simulation
	replacements int
	lastLoss     int64
}

// run runs a schedule and returns the first violated rule, empty if there is none.
func run(seed uint64, f ioFaults) string { return runPersist(seed, false, f) }

// runPersist is like run with Options.PersistCommit set to on.
func runPersist(seed uint64, on bool, f ioFaults) string { return runOptions(seed, on, false, f) }

// runOptions is like run with the given Options.PersistCommit and
// Options.BroadcastCommit.
func runOptions(seed uint64, persistCommit, broadcastCommit bool, f ioFaults) string {
	voters := []int{3, 3, 3, 5, 1}[seed%5]
	maxAppendBytes := []int{1, 100, 1000}[seed%3]
	faultInterval := []int{60, 25}[seed%2]
	electionChurn := seed%7 == 0
	s := &schedule{simulation: newSimulation(seed, voters, maxAppendBytes, persistCommit, broadcastCommit, f)}
	for s.now < scheduleUnits && s.failure == "" {
		s.step()
		if s.random.IntN(20) == 0 {
			s.clientCall()
		}
		if electionChurn {
			s.churnElections()
		} else if s.random.IntN(faultInterval) == 0 {
			s.fault()
		}
	}
	s.heal()
	return s.check()
}

// churnElections crashes new leaders after a short time, so that different members
// have uncommitted entries of several terms.
func (s *schedule) churnElections() {
	s.lossRate = 0.1
	down := s.down()
	if l := s.leader(); l != nil && s.random.IntN(12) == 0 && len(down) < 2 {
		l.crash()
	}
	if len(down) > 0 && s.random.IntN(60) == 0 {
		down[s.random.IntN(len(down))].start()
	}
}

func (s *schedule) down() []*process {
	var down []*process
	for _, p := range s.processes {
		if !p.up {
			down = append(down, p)
		}
	}
	return down
}

// fault injects one random fault or change into the members or the network.
func (s *schedule) fault() {
	p := s.processes[s.random.IntN(len(s.processes))]
	q := s.processes[s.random.IntN(len(s.processes))]
	switch s.random.IntN(14) {
	case 0:
		s.cutLinks[[2]ID{p.id, q.id}] = true
	case 1:
		if l := s.leader(); l != nil {
			s.isolate(l)
		}
	case 2:
		s.split()
	case 3, 4:
		clear(s.cutLinks)
	case 5, 6:
		if p.up {
			p.crash()
		}
	case 7, 8:
		if !p.up && !s.diskLost(p) {
			p.start()
		}
	case 9:
		s.lossRate = []float64{0, 0.05, 0.3}[s.random.IntN(3)]
	case 10:
		if p.up {
			p.compact()
		}
	case 11:
		if l := s.leader(); l != nil {
			_ = l.node.TransferLeadership(p.id)
			l.processReady()
		}
	case 12:
		s.loseDisk()
	case 13:
		s.changeMembers()
	}
}

func (s *schedule) isolate(p *process) {
	for _, other := range s.processes {
		s.cutLinks[[2]ID{p.id, other.id}] = true
		s.cutLinks[[2]ID{other.id, p.id}] = true
	}
}

func (s *schedule) split() {
	for _, p := range s.processes {
		for _, q := range s.processes {
			if p != q && s.random.IntN(2) == 0 {
				s.cutLinks[[2]ID{p.id, q.id}] = true
				s.cutLinks[[2]ID{q.id, p.id}] = true
			}
		}
	}
}

// diskLost reports whether the disk of the member is lost.
func (s *schedule) diskLost(p *process) bool { return p.offset < 0 }

// loseDisk destroys the disk of a voter if the leader reports that the loss is
// survivable; a replacement starts with an empty disk.
func (s *schedule) loseDisk() {
	l := s.leader()
	if l == nil {
		return
	}
	status := l.node.Status()
	lossDetected := s.now-s.lastLoss > (defaultElectionTicks+1)*unitsPerTick
	if status.Survivable < 1 || status.LeaseTicks == 0 || !lossDetected {
		return
	}
	voters := status.Config.Voters
	p := s.process(voters[s.random.IntN(len(voters))].ID)
	if s.diskLost(p) {
		return
	}
	if p.up {
		p.crash()
	}
	if s.faults.lostDiskKeepsID {
		p.disk = disk{}
		p.start()
		return
	}
	p.offset, s.lastLoss = -1, s.now
	s.replacements++
	s.add(ID(fmt.Sprintf("r%d", s.replacements)))
}

// changeMembers performs random operator actions: add a new member, promote a
// learner, or remove a lost or any other member.
func (s *schedule) changeMembers() {
	l := s.leader()
	if l == nil {
		return
	}
	defer l.processReady()
	config := l.node.Config()
	for range 1 + s.random.IntN(3) {
		p := s.processes[s.random.IntN(len(s.processes))]
		switch {
		case s.diskLost(p) || config.Voter(p.id) && len(config.Voters) > 3:
			_, _, _ = l.node.Remove(p.id)
		case config.Learner(p.id):
			_, _, _ = l.node.Promote(p.id)
		case !config.Voter(p.id) && p.up && len(s.processes) <= 9:
			_, _, _ = l.node.AddLearner(Member{ID: p.id})
		case len(s.processes) < 6 && s.random.IntN(2) == 0:
			s.replacements++
			s.add(ID(fmt.Sprintf("r%d", s.replacements)))
		}
	}
}

// heal ends all faults and fails if the log does not commit afterwards.
func (s *schedule) heal() {
	clear(s.cutLinks)
	s.lossRate = 0
	for _, p := range s.processes {
		if !p.up && !s.diskLost(p) {
			p.start()
		}
	}
	var probe *operation
	for end := s.now + healUnits; s.now < end && s.failure == ""; {
		s.step()
		if l := s.leader(); l != nil && s.now%probeUnits == 0 {
			probe = l.swap()
			l.processReady()
		}
		if probe != nil && s.recorded(probe) {
			return
		}
	}
	s.fail("no swap was committed after all faults ended")
}

func (s *schedule) recorded(o *operation) bool {
	return slices.ContainsFunc(s.history, func(h porcupine.Operation) bool {
		return h.Input.(operation).swap == o.swap && h.Return != math.MaxInt64
	})
}

func (s *schedule) check() string {
	if s.failure != "" {
		return s.failure
	}
	for _, p := range s.processes {
		for _, o := range p.proposed {
			s.recordUnknown(o)
		}
	}
	if !porcupine.CheckOperations(register, s.history) {
		return "the history is not linearizable"
	}
	return ""
}

// Members crash, lose their disks or are partitioned at any moment, repeatedly or
// together. No accepted change may be lost, no stale value may be read after a
// newer one, and a leader must be elected once all faults have ended.
func TestLogIsLinearizableUnderFaults(t *testing.T) {
	for shard := range uint64(shards) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < schedules; seed += shards {
				if failure := run(seed, ioFaults{}); failure != "" {
					t.Fatalf("seed %d: %s", seed, failure)
				}
			}
		})
	}
}

// Members crash while commits are being written to disk. A restarted member must resume with all entries that it had
// applied, before it has contact with a leader: its clients would otherwise see an accepted change undone.
func TestRestartedMemberResumesWithAppliedEntries(t *testing.T) {
	for shard := range uint64(shards) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < schedules; seed += shards {
				for _, broadcastCommit := range []bool{false, true} {
					if failure := runOptions(seed, true, broadcastCommit, ioFaults{}); failure != "" {
						t.Fatalf("seed %d, BroadcastCommit %v: %s", seed, broadcastCommit, failure)
					}
				}
			}
		})
	}
}

// A caller that applies a commit before it is synced loses it in a restart. The schedules must detect this.
func TestSchedulesDetectCommitAppliedBeforeSync(t *testing.T) {
	const seed = 6
	if failure := runPersist(seed, true, ioFaults{applyBeforeSync: true}); failure == "" {
		t.Errorf("seed %d does not detect the fault", seed)
	} else {
		t.Log(failure)
	}
}
