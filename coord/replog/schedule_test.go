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
	// settleUnits is how long a healed log gets to elect a leader and commit.
	settleUnits   = 1500
	probeUnits    = 100
	unknownOutput = math.MaxUint64
	schedules     = 4000
	shards        = 8
)

// register is the sequential specification: swap returns the previous value.
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

// schedule drives a world through seeded faults.
type schedule struct {
	*world
	replacements int
	lastLoss     int64
}

// run returns the first broken rule, empty when there is none.
func run(seed uint64, s sabotage) string { return runWith(seed, false, s) }

// runWith runs members that keep their commit, or not.
func runWith(seed uint64, keep bool, s sabotage) string { return runTelling(seed, keep, false, s) }

// runTelling runs members whose leader tells of commits at once, or not.
func runTelling(seed uint64, keep, tell bool, s sabotage) string {
	voters := []int{3, 3, 3, 5, 1}[seed%5]
	window := []int{1, 100, 1000}[seed%3]
	calm := []int{60, 25}[seed%2]
	storm := seed%7 == 0
	w := &schedule{world: newWorld(seed, voters, window, keep, tell, s)}
	for w.now < scheduleUnits && w.failure == "" {
		w.step()
		if w.random.IntN(20) == 0 {
			w.call()
		}
		if storm {
			w.stormElections()
		} else if w.random.IntN(calm) == 0 {
			w.fault()
		}
	}
	w.settle()
	return w.verdict()
}

// stormElections crashes each new leader soon, so that several terms' entries
// lie uncommitted on different members.
func (w *schedule) stormElections() {
	w.lossy = 0.1
	down := w.down()
	if l := w.leader(); l != nil && w.random.IntN(12) == 0 && len(down) < 2 {
		l.crash()
	}
	if len(down) > 0 && w.random.IntN(60) == 0 {
		down[w.random.IntN(len(down))].start()
	}
}

func (w *schedule) down() []*process {
	var down []*process
	for _, p := range w.processes {
		if !p.up {
			down = append(down, p)
		}
	}
	return down
}

// fault does one random thing to the members or the network.
func (w *schedule) fault() {
	p := w.processes[w.random.IntN(len(w.processes))]
	q := w.processes[w.random.IntN(len(w.processes))]
	switch w.random.IntN(14) {
	case 0:
		w.cut[[2]ID{p.id, q.id}] = true
	case 1:
		if l := w.leader(); l != nil {
			w.isolate(l)
		}
	case 2:
		w.split()
	case 3, 4:
		clear(w.cut)
	case 5, 6:
		if p.up {
			p.crash()
		}
	case 7, 8:
		if !p.up && !w.lost(p) {
			p.start()
		}
	case 9:
		w.lossy = []float64{0, 0.05, 0.3}[w.random.IntN(3)]
	case 10:
		if p.up {
			p.compact()
		}
	case 11:
		if l := w.leader(); l != nil {
			_ = l.node.TransferLeadership(p.id)
			l.work()
		}
	case 12:
		w.loseDisk()
	case 13:
		w.changeMembers()
	}
}

func (w *schedule) isolate(p *process) {
	for _, other := range w.processes {
		w.cut[[2]ID{p.id, other.id}] = true
		w.cut[[2]ID{other.id, p.id}] = true
	}
}

func (w *schedule) split() {
	for _, p := range w.processes {
		for _, q := range w.processes {
			if p != q && w.random.IntN(2) == 0 {
				w.cut[[2]ID{p.id, q.id}] = true
				w.cut[[2]ID{q.id, p.id}] = true
			}
		}
	}
}

// lost is true for an identity whose disk is gone.
func (w *schedule) lost(p *process) bool { return p.offset < 0 }

// loseDisk takes the disk of a voter away for good when the leader says that
// the log survives it; the instance comes back with an empty one.
func (w *schedule) loseDisk() {
	l := w.leader()
	if l == nil {
		return
	}
	status := l.node.Status()
	noticed := w.now-w.lastLoss > (defaultElectionTicks+1)*unitsPerTick
	if status.Survivable < 1 || status.LeaseTicks == 0 || !noticed {
		return
	}
	voters := status.Config.Voters
	p := w.process(voters[w.random.IntN(len(voters))].ID)
	if w.lost(p) {
		return
	}
	if p.up {
		p.crash()
	}
	if w.sabotage.lostDiskKeepsID {
		p.disk = disk{}
		p.start()
		return
	}
	p.offset, w.lastLoss = -1, w.now
	w.replacements++
	w.add(ID(fmt.Sprintf("r%d", w.replacements)))
}

// changeMembers does one random step of an operator: add a new instance,
// promote a learner, remove a lost member or any other.
func (w *schedule) changeMembers() {
	l := w.leader()
	if l == nil {
		return
	}
	defer l.work()
	config := l.node.Config()
	for range 1 + w.random.IntN(3) {
		p := w.processes[w.random.IntN(len(w.processes))]
		switch {
		case w.lost(p) || config.Voter(p.id) && len(config.Voters) > 3:
			_, _, _ = l.node.Remove(p.id)
		case config.Learner(p.id):
			_, _, _ = l.node.Promote(p.id)
		case !config.Voter(p.id) && p.up && len(w.processes) <= 9:
			_, _, _ = l.node.AddLearner(Member{ID: p.id})
		case len(w.processes) < 6 && w.random.IntN(2) == 0:
			w.replacements++
			w.add(ID(fmt.Sprintf("r%d", w.replacements)))
		}
	}
}

// settle ends all faults; the log must then commit again.
func (w *schedule) settle() {
	clear(w.cut)
	w.lossy = 0
	for _, p := range w.processes {
		if !p.up && !w.lost(p) {
			p.start()
		}
	}
	var probe *operation
	for end := w.now + settleUnits; w.now < end && w.failure == ""; {
		w.step()
		if l := w.leader(); l != nil && w.now%probeUnits == 0 {
			probe = l.swap()
			l.work()
		}
		if probe != nil && w.recorded(probe) {
			return
		}
	}
	w.fail("no swap was committed after all faults had ended")
}

func (w *schedule) recorded(o *operation) bool {
	return slices.ContainsFunc(w.history, func(h porcupine.Operation) bool {
		return h.Input.(operation).swap == o.swap && h.Return != math.MaxInt64
	})
}

func (w *schedule) verdict() string {
	if w.failure != "" {
		return w.failure
	}
	for _, p := range w.processes {
		for _, o := range p.proposed {
			w.unknown(o)
		}
	}
	if !porcupine.CheckOperations(register, w.history) {
		return "the history is not linearizable"
	}
	return ""
}

// A control instance crashes, loses its disk or is cut off at any moment,
// twice or together with others. A user would notice a change that was
// accepted and is gone, an old value after a new one, or no leader after all is
// well again.
func TestLogHoldsUnderSeededFaults(t *testing.T) {
	for shard := range uint64(shards) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < schedules; seed += shards {
				if failure := run(seed, sabotage{}); failure != "" {
					t.Fatalf("seed %d: %s", seed, failure)
				}
			}
		})
	}
}

// Members crash while commits are on their way to their disks. One that restarts must go on from all that it had
// applied, before it hears a leader: its users would otherwise see an accepted change undone.
func TestARestartedMemberGoesOnFromWhatItHadApplied(t *testing.T) {
	for shard := range uint64(shards) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < schedules; seed += shards {
				for _, tell := range []bool{false, true} {
					if failure := runTelling(seed, true, tell, sabotage{}); failure != "" {
						t.Fatalf("seed %d, commits told at once %v: %s", seed, tell, failure)
					}
				}
			}
		})
	}
}

// An owner that applies a commit before it is on disk goes back when it restarts.
func TestSchedulesCatchACommitAppliedTooSoon(t *testing.T) {
	const seed = 6
	if failure := runWith(seed, true, sabotage{applyBeforeSync: true}); failure == "" {
		t.Errorf("seed %d shows nothing", seed)
	} else {
		t.Log(failure)
	}
}
