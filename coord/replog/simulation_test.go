package replog

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"
)

// unitsPerTick is the number of units of virtual time per tick.
const unitsPerTick = 10

// ioFaults are injected faults in the I/O around the core, and in the core itself.
type ioFaults struct {
	core            faults
	voteBeforeSync  bool
	ackBeforeSync   bool
	lostDiskKeepsID bool
	applyBeforeSync bool
}

// disk is the persistent state, which survives a crash.
type disk struct {
	hard     HardState
	snapshot *Snapshot
	entries  []Entry
}

func (d *disk) persist(r Ready) {
	if r.HardState != nil {
		d.hard = *r.HardState
	}
	if r.Snapshot != nil {
		d.snapshot, d.entries = r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		d.entries = slices.DeleteFunc(d.entries, func(e Entry) bool { return e.Index >= first })
		d.entries = append(d.entries, r.Entries...)
	}
}

// operation is a pending swap or read of a client.
type operation struct {
	swap     uint64
	read     bool
	index    uint64
	term     uint64
	call     int64
	answered bool
}

// process is one member with its disk; the state machine is a register.
type process struct {
	sim     *simulation
	id      ID
	up      bool
	disk    disk
	node    *Node
	queue   []Ready
	syncAt  int64
	value   uint64
	applied uint64
	// appliedBeforeCrash is the value of applied at the last crash.
	appliedBeforeCrash uint64
	proposed           []*operation
	reads              map[uint64]*operation
	offset             int64
}

type delivery struct {
	at      int64
	message Message
}

// simulation runs members, their disks and the network in virtual time.
type simulation struct {
	random    *rand.Rand
	faults    ioFaults
	now       int64
	processes []*process
	network   []delivery
	cutLinks  map[[2]ID]bool
	lossRate  float64
	// maxAppendBytes and persistCommit are the options MaxAppendBytes and
	// PersistCommit of every member.
	maxAppendBytes int
	persistCommit  bool
	// broadcastCommit is the option BroadcastCommit of every member.
	broadcastCommit bool
	nextValue       uint64
	nextRead        uint64

	committed map[uint64]Entry
	leaders   map[uint64]ID
	votes     map[string]ID
	history   []porcupine.Operation
	failure   string
}

func newSimulation(seed uint64, voters, maxAppendBytes int, persistCommit, broadcastCommit bool, f ioFaults) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), faults: f, maxAppendBytes: maxAppendBytes, persistCommit: persistCommit, broadcastCommit: broadcastCommit, cutLinks: make(map[[2]ID]bool),
		committed: make(map[uint64]Entry), leaders: make(map[uint64]ID), votes: make(map[string]ID),
	}
	config := Config{Cluster: "test"}
	for i := range voters {
		config.Voters = append(config.Voters, Member{ID: ID(fmt.Sprintf("m%d", i))})
	}
	for _, m := range config.Voters {
		s.add(m.ID)
	}
	founding := InitialSnapshot(config, nil)
	founder := s.processes[0]
	founder.disk = disk{hard: HardState{Term: 1}, snapshot: &founding}
	founder.start()
	return s
}

// add starts a member with an empty disk.
func (s *simulation) add(id ID) *process {
	p := &process{sim: s, id: id, offset: s.random.Int64N(unitsPerTick)}
	s.processes = append(s.processes, p)
	p.start()
	return p
}

func (s *simulation) fail(format string, arguments ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("at %d: ", s.now) + fmt.Sprintf(format, arguments...)
	}
}

func (p *process) start() {
	p.up, p.queue, p.proposed, p.reads = true, nil, nil, make(map[uint64]*operation)
	p.value, p.applied = 0, 0
	p.node = New(Options{
		ID: p.id, MaxAppendBytes: p.sim.maxAppendBytes, MaxInflight: 2, TrailingEntries: 5, PersistCommit: p.sim.persistCommit, BroadcastCommit: p.sim.broadcastCommit,
		Random: rand.New(rand.NewPCG(p.sim.random.Uint64(), 2)), faults: p.sim.faults.core,
	}, Restored{HardState: p.disk.hard, Snapshot: p.disk.snapshot, Entries: p.disk.entries})
	if p.disk.snapshot != nil {
		p.restore(*p.disk.snapshot)
	}
	if p.sim.persistCommit {
		p.processReady()
		if p.applied < p.appliedBeforeCrash {
			p.sim.fail("%s restarted with applied index %d, was %d before the crash", p.id, p.applied, p.appliedBeforeCrash)
		}
	}
}

// crash stops the process. Unsynced writes are lost, but a random prefix of those
// in progress may have reached the disk.
func (p *process) crash() {
	for len(p.queue) > 0 && p.sim.random.IntN(3) == 0 {
		p.disk.persist(p.queue[0])
		p.queue = p.queue[1:]
	}
	p.up, p.node, p.appliedBeforeCrash = false, nil, p.applied
	for _, o := range p.proposed {
		p.sim.recordUnknown(o)
	}
}

func (p *process) restore(s Snapshot) {
	p.value, p.applied = decodeValue(s.Data), s.Index
	for _, o := range p.proposed {
		if o.index <= s.Index {
			p.sim.recordUnknown(o)
		}
	}
}

func encodeValue(v uint64) []byte { return fmt.Appendf(nil, "%d", v) }

func decodeValue(data []byte) uint64 {
	var v uint64
	_, _ = fmt.Sscanf(string(data), "%d", &v)
	return v
}

// processReady processes all pending Readys of the node.
func (p *process) processReady() {
	for r, ok := p.node.Ready(); ok; r, ok = p.node.Ready() {
		p.sim.send(p, r.Messages)
		early := p.sim.faults.ackBeforeSync && len(r.Entries) > 0 || p.sim.faults.voteBeforeSync && r.HardState != nil && len(r.Entries) == 0
		if early {
			p.sim.send(p, r.AfterSync)
			r.AfterSync = nil
		}
		if len(p.queue) == 0 {
			p.syncAt = p.sim.now + p.sim.syncDelay()
		}
		p.queue = append(p.queue, r)
		if !p.appliesAfterSync(r) {
			p.applyReady(r)
		}
		p.answerReads(r)
	}
	p.sim.checkLeader(p)
}

func (p *process) appliesAfterSync(r Ready) bool {
	return p.sim.persistCommit && r.NeedsSync() && !p.sim.faults.applyBeforeSync
}

// applyReady applies the snapshot and the committed entries of a Ready to the
// state machine.
func (p *process) applyReady(r Ready) {
	if r.Snapshot != nil {
		p.restore(*r.Snapshot)
	}
	for _, e := range r.Committed {
		p.apply(e)
	}
}

// sync completes all pending disk writes as one group.
func (p *process) sync() {
	group := p.queue
	p.queue = nil
	for _, r := range group {
		p.disk.persist(r)
		p.sim.send(p, r.AfterSync)
		if p.appliesAfterSync(r) {
			p.applyReady(r)
		}
	}
	p.answerReads(Ready{})
	p.node.Synced(group[len(group)-1].Sequence)
	p.processReady()
}

func (p *process) apply(e Entry) {
	s := p.sim
	if e.Index != p.applied+1 {
		s.fail("%s applies index %d after %d", p.id, e.Index, p.applied)
	}
	if first, seen := s.committed[e.Index]; seen && (first.Term != e.Term || string(first.Data) != string(e.Data)) {
		s.fail("%s commits a different entry at %d: term %d %q, want term %d %q", p.id, e.Index, e.Term, e.Data, first.Term, first.Data)
	}
	s.committed[e.Index] = e
	p.applied = e.Index
	previous := p.value
	if e.Data != nil {
		p.value = decodeValue(e.Data)
	}
	for _, o := range p.proposed {
		if o.index == e.Index && !o.answered {
			o.answered = true
			if o.term == e.Term {
				s.record(o, previous, s.now)
			}
		}
	}
}

func (p *process) answerReads(r Ready) {
	for _, id := range r.FailedReads {
		delete(p.reads, id)
	}
	for _, read := range r.Reads {
		if o := p.reads[read.ID]; o != nil {
			o.index = read.Index
		}
	}
	for id, o := range p.reads {
		if o.index > 0 && p.applied >= o.index {
			p.sim.record(o, p.value, p.sim.now)
			delete(p.reads, id)
		}
	}
}

// compact takes a snapshot of the applied state, as a process does between syncs.
func (p *process) compact() {
	if len(p.queue) > 0 || p.applied == 0 {
		return
	}
	s := p.node.Compact(p.applied, encodeValue(p.value))
	p.disk.snapshot = &s
	p.disk.entries = slices.DeleteFunc(p.disk.entries, func(e Entry) bool { return e.Index <= s.Index })
}

// recordUnknown records a swap whose outcome is unknown.
func (s *simulation) recordUnknown(o *operation) {
	if !o.answered {
		o.answered = true
		s.record(o, unknownOutput, math.MaxInt64)
	}
}

func (s *simulation) record(o *operation, output uint64, at int64) {
	s.history = append(s.history, porcupine.Operation{
		Input: *o, Call: o.call, Output: output, Return: at,
	})
}

func (s *simulation) syncDelay() int64 {
	if s.random.IntN(10) == 0 {
		return 30 + s.random.Int64N(60)
	}
	return 1 + s.random.Int64N(4)
}

func (s *simulation) send(p *process, messages []Message) {
	for _, m := range messages {
		s.checkVote(m)
		if s.random.Float64() < s.lossRate {
			continue
		}
		s.network = append(s.network, delivery{at: s.now + s.networkDelay(), message: m})
		if s.random.Float64() < s.lossRate/2 {
			s.network = append(s.network, delivery{at: s.now + s.networkDelay()*3, message: m})
		}
	}
}

func (s *simulation) networkDelay() int64 {
	if s.random.Float64() < s.lossRate {
		return 20 + s.random.Int64N(150)
	}
	return 1 + s.random.Int64N(6)
}

// checkVote fails the simulation if a member votes for two candidates in one term.
func (s *simulation) checkVote(m Message) {
	voter, candidate := m.From, m.To
	switch {
	case m.Kind == KindVote:
		candidate = m.From
	case m.Kind != KindVoteReply || m.Reject:
		return
	}
	key := fmt.Sprintf("%s in term %d", voter, m.Term)
	if first, voted := s.votes[key]; voted && first != candidate {
		s.fail("%s votes for %s and for %s", key, first, candidate)
	}
	s.votes[key] = candidate
}

func (s *simulation) checkLeader(p *process) {
	if p.node.role != Leader {
		return
	}
	if first, seen := s.leaders[p.node.term]; seen && first != p.id {
		s.fail("%s and %s are both leader in term %d", first, p.id, p.node.term)
	}
	s.leaders[p.node.term] = p.id
	for _, other := range s.processes {
		if other.up && other.node.role == Leader && other.node.term < p.node.term && other.node.Status().LeaseTicks > 0 {
			s.fail("%s is leader while %s holds a lease", p.id, other.id)
		}
	}
}

// step advances virtual time by one unit.
func (s *simulation) step() {
	s.now++
	s.deliver()
	for _, p := range s.processes {
		if p.up && len(p.queue) > 0 && s.now >= p.syncAt {
			p.sync()
		}
		if p.up && (s.now+p.offset)%unitsPerTick == 0 {
			p.node.Tick()
			p.processReady()
		}
	}
}

func (s *simulation) deliver() {
	var due []Message
	pending := s.network[:0]
	for _, d := range s.network {
		if d.at <= s.now {
			due = append(due, d.message)
		} else {
			pending = append(pending, d)
		}
	}
	s.network = pending
	for _, m := range due {
		p := s.process(m.To)
		if p != nil && p.up && !s.cutLinks[[2]ID{m.From, m.To}] {
			p.node.Step(m)
			p.processReady()
		}
	}
}

func (s *simulation) process(id ID) *process {
	for _, p := range s.processes {
		if p.id == id {
			return p
		}
	}
	return nil
}

// leader returns the running leader of the highest term, or nil.
func (s *simulation) leader() *process {
	var found *process
	for _, p := range s.processes {
		if p.up && p.node.role == Leader && (found == nil || p.node.term > found.node.term) {
			found = p
		}
	}
	return found
}

// clientCall starts a client's swap or read of the register at a random member.
func (s *simulation) clientCall() {
	p := s.processes[s.random.IntN(len(s.processes))]
	if !p.up {
		return
	}
	if s.random.IntN(2) == 0 {
		s.nextRead++
		if p.node.ReadIndex(s.nextRead) == nil {
			p.reads[s.nextRead] = &operation{read: true, call: s.now}
		}
	} else {
		p.swap()
	}
	p.processReady()
}

func (p *process) swap() *operation {
	p.sim.nextValue++
	o := &operation{swap: p.sim.nextValue, call: p.sim.now}
	var err error
	if o.index, o.term, err = p.node.Propose(encodeValue(o.swap)); err != nil {
		return nil
	}
	p.proposed = append(p.proposed, o)
	return o
}
