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
	// faultSeeds is the number of seeds run for each injected fault.
	faultSeeds = 60
	// probeAfter is the age of a proof at which the daemon probes.
	probeAfter = time.Second
)

// cluster simulates the control instances as daemons see them: logs whose
// entries carry the term they were written in, a leader where a majority is
// connected, and faults drawn from a seed.
type cluster struct {
	random *rand.Rand
	now    time.Time
	// logs hold the term of each entry. Equal logs share their memory;
	// appending copies the slice.
	logs [instances][]int
	// applied is the number of entries applied by each instance; it may lag.
	applied [instances]int
	running [instances]bool
	// side is the side of the network partition that each instance is on.
	side [instances]int
	// accepted holds the time at which each committed entry was accepted.
	accepted  []time.Time
	committed int
	term      int
	leader    int
	// electAt is the earliest time for an election after a leader was lost.
	electAt time.Time
	// falseQuorum makes all instances claim a quorum that they do not have.
	falseQuorum bool
	// disks draws when an instance loses its disk; nil disables this fault. The
	// instance restarts empty, without a vote, and receives the log as a learner.
	disks *rand.Rand
	empty [instances]bool
	// emptyVotes makes empty instances report that they are voters.
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
		c.electAt = c.now.Add(time.Duration(c.random.IntN(1500)) * time.Millisecond)
	}
	if c.leader < 0 && !c.now.Before(c.electAt) {
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

// loseDisk empties an instance. At most two instances lose their disks, so that
// a quorum can remain.
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
		c.electAt = c.now.Add(time.Second)
	}
}

// voters returns the voting instances that are connected to instance i.
func (c *cluster) voters(i int) (all []int) {
	for _, j := range c.peers(i) {
		if !c.empty[j] {
			all = append(all, j)
		}
	}
	return all
}

// elect makes the instance with the most up-to-date log leader, among those
// that reach a majority.
func (c *cluster) elect() {
	for i := range instances {
		if c.empty[i] || len(c.voters(i)) <= instances/2 {
			continue
		}
		if c.leader < 0 || c.moreUpToDate(i, c.leader) {
			c.leader = i
		}
	}
	if c.leader < 0 {
		return
	}
	c.term++
	c.append(c.leader)
}

func (c *cluster) moreUpToDate(i, j int) bool {
	a, b := c.logs[i], c.logs[j]
	if len(a) == 0 || len(b) == 0 {
		return len(a) > len(b)
	}
	if a[len(a)-1] != b[len(b)-1] {
		return a[len(a)-1] > b[len(b)-1]
	}
	return len(a) > len(b)
}

// write appends changes to the leader's log at random and replicates them.
// Without a leader, a random instance appends an uncommitted entry, like a stale
// leader in a partition.
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

func (c *cluster) matchesLeader(j int) bool {
	a, b := c.logs[j], c.logs[c.leader]
	if len(a) == 0 || len(a) != len(b) {
		return len(a) == len(b)
	}
	return &a[0] == &b[0] || slices.Equal(a, b)
}

func (c *cluster) commit() {
	matching := 0
	for _, j := range c.voters(c.leader) {
		if c.matchesLeader(j) {
			matching++
		}
	}
	if matching <= instances/2 {
		return
	}
	c.committed = len(c.logs[c.leader])
	for len(c.accepted) < c.committed {
		c.accepted = append(c.accepted, c.now)
	}
	for _, j := range c.peers(c.leader) {
		if c.matchesLeader(j) && c.chance(70) {
			c.applied[j] = c.committed
		}
	}
}

func (c *cluster) standing(i int) freshness.Standing {
	hasQuorum := c.leader >= 0 && c.connected(i, c.leader) && c.applied[i] == c.committed
	return freshness.Standing{
		Voter:          !c.empty[i] || c.emptyVotes,
		Voters:         members,
		LastIndex:      uint64(len(c.logs[i])),
		Applied:        uint64(c.applied[i]),
		ConfigIndex:    uint64(c.applied[i]),
		ConfirmedIndex: uint64(c.applied[i]),
		Confirmed:      hasQuorum || c.falseQuorum,
	}
}

// daemon follows one instance at a time, as internal/follow does. It is on one
// side of the partition.
type daemon struct {
	tracker *freshness.Tracker
	index   uint64
	peer    int
	side    int
	// Faults injected into the daemon.
	countTimeouts, stampOnArrival bool
}

func (d *daemon) reaches(c *cluster, i int) bool { return c.side[i] == d.side }

// watch asks the followed instance and records its answer after a random network
// delay. If the instance cannot be reached, watch moves on to the next one.
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
		case d.reaches(c, i) || d.countTimeouts:
			round.Refused = append(round.Refused, members[i])
		}
	}
	d.tracker.Probe(round)
}

// violates reports whether the daemon would admit under a copy that lacks a
// change accepted more than the lease ago. If the state is Unchangeable, the copy
// may lack changes accepted within one lease after the last proof, but no later
// ones.
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

type tally struct {
	violations int
	admitting  int
	cutOff     int
}

func run(seed uint64, inject func(*cluster, *daemon)) tally {
	c := newCluster(seed)
	d := &daemon{tracker: freshness.NewTracker(freshness.Options{})}
	inject(c, d)
	var counts tally
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
			counts.violations++
		case d.tracker.State(c.now).MayAdmit():
			counts.admitting++
		default:
			counts.cutOff++
		}
	}
	return counts
}

// Partitions, crashes, elections and delays occur in random order. A daemon that
// admits under a contract superseded longer ago than the lease serves a retired
// customer for an unbounded time.
func TestNoAdmissionUnderSupersededContract(t *testing.T) {
	var total tally
	for seed := range uint64(seeds) {
		counts := run(seed, func(*cluster, *daemon) {})
		if counts.violations > 0 {
			t.Errorf("seed %d: %d violations", seed, counts.violations)
		}
		total.admitting += counts.admitting
		total.cutOff += counts.cutOff
	}
	if total.admitting == 0 || total.cutOff == 0 {
		t.Errorf("the schedules reach %+v, want both states", total)
	}
	t.Logf("%d seeds: admitting in %d ticks, cut off in %d", seeds, total.admitting, total.cutOff)
}

// In addition to the other faults, instances lose their disks and restart empty.
func TestEmptyInstanceIsNotTrusted(t *testing.T) {
	runWithDiskLoss := func(seed uint64, emptyVotes bool) tally {
		return run(seed, func(c *cluster, _ *daemon) {
			c.disks = rand.New(rand.NewPCG(seed, 2))
			c.emptyVotes = emptyVotes
		})
	}
	for seed := range uint64(seeds) {
		if counts := runWithDiskLoss(seed, false); counts.violations > 0 {
			t.Errorf("seed %d: %d violations", seed, counts.violations)
		}
	}
	// Of the 300 seeds, this one detects that an empty instance counts as a voter.
	const detectingSeed = 239
	if runWithDiskLoss(detectingSeed, true).violations == 0 {
		t.Errorf("seed %d did not detect that an empty instance counted as a voter", detectingSeed)
	}
}

// The schedules must detect each fault that is injected into the rules.
func TestSchedulesDetectInjectedFaults(t *testing.T) {
	faults := map[string]func(*cluster, *daemon){
		"an isolated instance's answer counts as a proof": func(c *cluster, _ *daemon) { c.falseQuorum = true },
		"a timeout counts as a refused connection":        func(_ *cluster, d *daemon) { d.countTimeouts = true },
		"a proof is stamped on arrival":                   func(_ *cluster, d *daemon) { d.stampOnArrival = true },
	}
	for name, inject := range faults {
		detected, first := 0, -1
		for seed := range uint64(faultSeeds) {
			if run(seed, inject).violations > 0 {
				detected++
				if first < 0 {
					first = int(seed)
				}
			}
		}
		if detected == 0 {
			t.Errorf("%s: none of %d seeds detected it", name, faultSeeds)
		}
		t.Logf("%s: detected by %d of %d seeds, first %d", name, detected, faultSeeds, first)
	}
}
