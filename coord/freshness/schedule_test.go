package freshness_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/freshness"
)

const (
	instances = 5
	tick      = 50 * time.Millisecond
	ticks     = 1_200
	seeds     = 300
	// plantedSeeds are tried for each planted fault.
	plantedSeeds = 60
	// probeAfter is the age of a proof from which on the daemon probes.
	probeAfter = time.Second
)

// cluster is a fake of the control instances at the level that daemons see:
// logs of entries that carry the term they were written in, a leader where a
// majority is connected, and faults drawn from a seed.
type cluster struct {
	random *rand.Rand
	now    time.Time
	// logs hold the term of each entry. Equal logs share their memory, and
	// an append copies.
	logs [instances][]int
	// applied counts the entries in each instance's state; it may lag.
	applied [instances]int
	running [instances]bool
	// side is the network partition that an instance is on.
	side [instances]int
	// accepted holds when each committed entry was accepted.
	accepted  []time.Time
	committed int
	term      int
	leader    int
	// electing is when a leader may be elected after the last was lost.
	electing time.Time
	// lying instances claim a quorum that they do not have.
	lying bool
	// disks draws when an instance loses its disk, nil for never. It comes
	// back empty, without a vote, and receives the log as a learner would.
	disks *rand.Rand
	empty [instances]bool
	// emptyVotes counts an empty instance as a voter.
	emptyVotes bool
}

func newCluster(seed uint64) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 1)), now: start, leader: -1}
	for i := range c.running {
		c.running[i] = true
	}
	return c
}

func (c *cluster) chance(percent int) bool { return c.random.IntN(100) < percent }

func (c *cluster) connected(i, j int) bool {
	return c.running[i] && c.running[j] && c.side[i] == c.side[j]
}

func (c *cluster) peers(i int) (all []int) {
	for j := range instances {
		if c.connected(i, j) {
			all = append(all, j)
		}
	}
	return all
}

func (c *cluster) step() {
	c.now = c.now.Add(tick)
	if c.chance(2) {
		c.fault()
	}
	if c.disks != nil && c.disks.IntN(400) == 0 {
		c.loseDisk(c.disks.IntN(instances))
	}
	if c.leader >= 0 && len(c.voters(c.leader)) <= instances/2 {
		c.leader = -1
		c.electing = c.now.Add(time.Duration(c.random.IntN(1500)) * time.Millisecond)
	}
	if c.leader < 0 && !c.now.Before(c.electing) {
		c.elect()
	}
	c.write()
}

func (c *cluster) fault() {
	i := c.random.IntN(instances)
	switch c.random.IntN(4) {
	case 0:
		c.running[i] = !c.running[i]
	case 1:
		for j := range c.side {
			c.side[j] = c.random.IntN(2)
		}
	case 2:
		c.side = [instances]int{}
	default:
		c.side[i] = 1 - c.side[i]
	}
}

// loseDisk empties an instance. At most two do, so that a quorum can remain.
func (c *cluster) loseDisk(i int) {
	lost := 0
	for _, empty := range c.empty {
		if empty {
			lost++
		}
	}
	if lost == 2 || c.empty[i] {
		return
	}
	c.empty[i], c.logs[i], c.applied[i] = true, nil, 0
	if c.leader == i {
		c.leader = -1
		c.electing = c.now.Add(time.Second)
	}
}

// voters are the connected instances that vote.
func (c *cluster) voters(i int) (all []int) {
	for _, j := range c.peers(i) {
		if !c.empty[j] {
			all = append(all, j)
		}
	}
	return all
}

// elect picks the instance with the best log that reaches a majority.
func (c *cluster) elect() {
	for i := range instances {
		if c.empty[i] || len(c.voters(i)) <= instances/2 {
			continue
		}
		if c.leader < 0 || c.better(i, c.leader) {
			c.leader = i
		}
	}
	if c.leader < 0 {
		return
	}
	c.term++
	c.append(c.leader)
}

func (c *cluster) better(i, j int) bool {
	a, b := c.logs[i], c.logs[j]
	if len(a) == 0 || len(b) == 0 {
		return len(a) > len(b)
	}
	if a[len(a)-1] != b[len(b)-1] {
		return a[len(a)-1] > b[len(b)-1]
	}
	return len(a) > len(b)
}

// write lets the leader accept a change now and then, replicates, and lets a
// cut-off instance that believes it leads write an entry nobody accepts.
func (c *cluster) write() {
	if c.leader >= 0 && c.chance(10) {
		c.append(c.leader)
	}
	if i := c.random.IntN(instances); c.leader < 0 && c.running[i] && c.chance(3) {
		c.append(i)
	}
	if c.leader < 0 {
		return
	}
	for _, j := range c.peers(c.leader) {
		if c.chance(80) {
			c.logs[j] = c.logs[c.leader]
		}
	}
	c.commit()
}

func (c *cluster) append(i int) { c.logs[i] = append(slices.Clip(c.logs[i]), c.term) }

func (c *cluster) holdsLeaders(j int) bool {
	a, b := c.logs[j], c.logs[c.leader]
	if len(a) == 0 || len(a) != len(b) {
		return len(a) == len(b)
	}
	return &a[0] == &b[0] || slices.Equal(a, b)
}

func (c *cluster) commit() {
	holders := 0
	for _, j := range c.voters(c.leader) {
		if c.holdsLeaders(j) {
			holders++
		}
	}
	if holders <= instances/2 {
		return
	}
	c.committed = len(c.logs[c.leader])
	for len(c.accepted) < c.committed {
		c.accepted = append(c.accepted, c.now)
	}
	for _, j := range c.peers(c.leader) {
		if c.holdsLeaders(j) && c.chance(70) {
			c.applied[j] = c.committed
		}
	}
}

func (c *cluster) standing(i int) freshness.Standing {
	led := c.leader >= 0 && c.connected(i, c.leader) && c.applied[i] == c.committed
	return freshness.Standing{
		Voter:          !c.empty[i] || c.emptyVotes,
		Voters:         members,
		LastIndex:      uint64(len(c.logs[i])),
		Applied:        uint64(c.applied[i]),
		ConfigIndex:    uint64(c.applied[i]),
		ConfirmedIndex: uint64(c.applied[i]),
		Confirmed:      led || c.lying,
	}
}

// daemon follows one instance at a time, as internal/follow does. It stands on
// one side of the partitions.
type daemon struct {
	tracker *freshness.Tracker
	index   uint64
	peer    int
	side    int
	// Faults planted into the daemon.
	countSilence, stampOnArrival bool
}

func (d *daemon) reaches(c *cluster, i int) bool { return c.side[i] == d.side }

// question asks an instance and returns its answer after a delay on the way.
func (d *daemon) watch(c *cluster) {
	sent := c.now
	if !d.reaches(c, d.peer) || !c.running[d.peer] {
		d.peer = (d.peer + 1) % instances
		return
	}
	standing := c.standing(d.peer)
	for range c.random.IntN(20) {
		c.step()
	}
	if d.stampOnArrival {
		sent = c.now
	}
	d.index = max(d.index, standing.ConfigIndex)
	d.tracker.Advance(d.index)
	d.tracker.Answer(standing, sent)
}

func (d *daemon) probe(c *cluster) {
	round := freshness.Round{Sent: c.now}
	for i := range instances {
		switch {
		case d.reaches(c, i) && c.running[i]:
			round.Answers = append(round.Answers, freshness.Answer{Address: members[i], Standing: c.standing(i)})
		case d.reaches(c, i) || d.countSilence:
			round.Refused = append(round.Refused, members[i])
		}
	}
	d.tracker.Probe(round)
}

// violates reports whether the daemon would admit under a copy that lacks a
// change accepted more than the lease ago. A daemon that knows control to be
// halted may lack what was accepted in the lease before, and nothing since.
func (d *daemon) violates(c *cluster) bool {
	state := d.tracker.State(c.now)
	if !state.MayAdmit() || int(d.index) >= len(c.accepted) {
		return false
	}
	missing := c.accepted[d.index]
	if state.Kind == freshness.Unchangeable {
		return missing.After(state.AsOf.Add(freshness.DefaultLease)) && c.now.Sub(missing) > freshness.DefaultLease
	}
	return c.now.Sub(missing) > freshness.DefaultLease
}

type verdicts struct {
	violations int
	admitting  int
	cutOff     int
}

func run(seed uint64, spoil func(*cluster, *daemon)) verdicts {
	c := newCluster(seed)
	d := &daemon{tracker: freshness.NewTracker(freshness.Options{})}
	spoil(c, d)
	var v verdicts
	for range ticks {
		c.step()
		if c.chance(1) {
			d.side = 1 - d.side
		}
		if c.chance(20) {
			d.watch(c)
		}
		if c.now.Sub(d.tracker.State(c.now).AsOf) >= probeAfter && c.chance(30) {
			d.probe(c)
		}
		switch {
		case d.violates(c):
			v.violations++
		case d.tracker.State(c.now).MayAdmit():
			v.admitting++
		default:
			v.cutOff++
		}
	}
	return v
}

// Partitions, crashes, elections and delays come in any order. A daemon that
// admitted under a contract superseded longer ago than the lease would serve a
// retired customer, and no operator could tell for how long.
func TestNoSeedAdmitsUnderASupersededContract(t *testing.T) {
	var total verdicts
	for seed := range uint64(seeds) {
		v := run(seed, func(*cluster, *daemon) {})
		if v.violations > 0 {
			t.Errorf("seed %d: %d violations", seed, v.violations)
		}
		total.admitting += v.admitting
		total.cutOff += v.cutOff
	}
	if total.admitting == 0 || total.cutOff == 0 {
		t.Errorf("the schedules must bring about both states: %+v", total)
	}
	t.Logf("%d seeds: admitting in %d moments, cut off in %d", seeds, total.admitting, total.cutOff)
}

// Instances lose their disks besides, and come back empty.
func TestNoSeedTrustsAnEmptyInstance(t *testing.T) {
	lossy := func(seed uint64, emptyVotes bool) verdicts {
		return run(seed, func(c *cluster, _ *daemon) {
			c.disks = rand.New(rand.NewPCG(seed, 2))
			c.emptyVotes = emptyVotes
		})
	}
	for seed := range uint64(seeds) {
		if v := lossy(seed, false); v.violations > 0 {
			t.Errorf("seed %d: %d violations", seed, v.violations)
		}
	}
	// Of the 300 seeds this one notices when an empty instance counts as a voter.
	const noticing = 239
	if lossy(noticing, true).violations == 0 {
		t.Errorf("seed %d did not notice that an empty instance counted as a voter", noticing)
	}
}

// The schedules are only worth something if they notice a wrong rule.
func TestSchedulesCatchPlantedFaults(t *testing.T) {
	faults := map[string]func(*cluster, *daemon){
		"an isolated instance's answer counts as a proof": func(c *cluster, _ *daemon) { c.lying = true },
		"silence counts as a refused connection":          func(_ *cluster, d *daemon) { d.countSilence = true },
		"a proof is dated when it arrives":                func(_ *cluster, d *daemon) { d.stampOnArrival = true },
	}
	for name, spoil := range faults {
		caught, first := 0, -1
		for seed := range uint64(plantedSeeds) {
			if run(seed, spoil).violations > 0 {
				caught++
				if first < 0 {
					first = int(seed)
				}
			}
		}
		if caught == 0 {
			t.Errorf("%s: no seed of %d noticed", name, plantedSeeds)
		}
		t.Logf("%s: noticed by %d of %d seeds, first %d", name, caught, plantedSeeds, first)
	}
}
