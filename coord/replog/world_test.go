package replog

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"
)

// unitsPerTick is how many units of virtual time lie between two ticks.
const unitsPerTick = 10

// sabotage is a deliberate fault of the I/O around the core.
type sabotage struct {
	core            faults
	voteBeforeSync  bool
	ackBeforeSync   bool
	lostDiskKeepsID bool
	applyBeforeSync bool
}

// disk is what survives a crash.
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

// operation is a client's swap or read that waits for its answer.
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
	world   *world
	id      ID
	up      bool
	disk    disk
	node    *Node
	queue   []Ready
	syncAt  int64
	value   uint64
	applied uint64
	// had is what it had applied when it crashed last.
	had      uint64
	proposed []*operation
	reads    map[uint64]*operation
	offset   int64
}

type delivery struct {
	at      int64
	message Message
}

// world runs members, their disks and the network in virtual time.
type world struct {
	random    *rand.Rand
	sabotage  sabotage
	now       int64
	processes []*process
	network   []delivery
	cut       map[[2]ID]bool
	lossy     float64
	// window is MaxAppendBytes of every member, keep its KeepCommit.
	window int
	keep   bool
	// tell is their TellCommit.
	tell      bool
	nextValue uint64
	nextRead  uint64

	committed map[uint64]Entry
	leaders   map[uint64]ID
	votes     map[string]ID
	history   []porcupine.Operation
	failure   string
}

func newWorld(seed uint64, voters, window int, keep, tell bool, s sabotage) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), sabotage: s, window: window, keep: keep, tell: tell, cut: make(map[[2]ID]bool),
		committed: make(map[uint64]Entry), leaders: make(map[uint64]ID), votes: make(map[string]ID),
	}
	config := Config{Cluster: "test"}
	for i := range voters {
		config.Voters = append(config.Voters, Member{ID: ID(fmt.Sprintf("m%d", i))})
	}
	for _, m := range config.Voters {
		w.add(m.ID)
	}
	founding := Founding(config, nil)
	founder := w.processes[0]
	founder.disk = disk{hard: HardState{Term: 1}, snapshot: &founding}
	founder.start()
	return w
}

// add starts a member with an empty disk.
func (w *world) add(id ID) *process {
	p := &process{world: w, id: id, offset: w.random.Int64N(unitsPerTick)}
	w.processes = append(w.processes, p)
	p.start()
	return p
}

func (w *world) fail(format string, arguments ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("at %d: ", w.now) + fmt.Sprintf(format, arguments...)
	}
}

func (p *process) start() {
	p.up, p.queue, p.proposed, p.reads = true, nil, nil, make(map[uint64]*operation)
	p.value, p.applied = 0, 0
	p.node = New(Options{
		ID: p.id, MaxAppendBytes: p.world.window, MaxInflight: 2, TrailingEntries: 5, KeepCommit: p.world.keep, TellCommit: p.world.tell,
		Random: rand.New(rand.NewPCG(p.world.random.Uint64(), 2)), faults: p.world.sabotage.core,
	}, Restored{HardState: p.disk.hard, Snapshot: p.disk.snapshot, Entries: p.disk.entries})
	if p.disk.snapshot != nil {
		p.restore(*p.disk.snapshot)
	}
	if p.world.keep {
		p.work()
		if p.applied < p.had {
			p.world.fail("%s is back with %d, it had applied %d", p.id, p.applied, p.had)
		}
	}
}

// crash loses what is not synced; some of what was under way may have reached
// the disk all the same.
func (p *process) crash() {
	for len(p.queue) > 0 && p.world.random.IntN(3) == 0 {
		p.disk.persist(p.queue[0])
		p.queue = p.queue[1:]
	}
	p.up, p.node, p.had = false, nil, p.applied
	for _, o := range p.proposed {
		p.world.unknown(o)
	}
}

func (p *process) restore(s Snapshot) {
	p.value, p.applied = decodeValue(s.Data), s.Index
	for _, o := range p.proposed {
		if o.index <= s.Index {
			p.world.unknown(o)
		}
	}
}

func encodeValue(v uint64) []byte { return fmt.Appendf(nil, "%d", v) }

func decodeValue(data []byte) uint64 {
	var v uint64
	_, _ = fmt.Sscanf(string(data), "%d", &v)
	return v
}

// work takes what the node wants done.
func (p *process) work() {
	for r, ok := p.node.Ready(); ok; r, ok = p.node.Ready() {
		p.world.post(p, r.Messages)
		early := p.world.sabotage.ackBeforeSync && len(r.Entries) > 0 || p.world.sabotage.voteBeforeSync && r.HardState != nil && len(r.Entries) == 0
		if early {
			p.world.post(p, r.AfterSync)
			r.AfterSync = nil
		}
		if len(p.queue) == 0 {
			p.syncAt = p.world.now + p.world.syncTime()
		}
		p.queue = append(p.queue, r)
		if !p.appliesAfterSync(r) {
			p.execute(r)
		}
		p.answerReads(r)
	}
	p.world.checkLeader(p)
}

func (p *process) appliesAfterSync(r Ready) bool {
	return p.world.keep && r.NeedsSync() && !p.world.sabotage.applyBeforeSync
}

// execute gives the state machine what a Ready has for it.
func (p *process) execute(r Ready) {
	if r.Snapshot != nil {
		p.restore(*r.Snapshot)
	}
	for _, e := range r.Committed {
		p.apply(e)
	}
}

// sync finishes the disk's work so far, as one group.
func (p *process) sync() {
	group := p.queue
	p.queue = nil
	for _, r := range group {
		p.disk.persist(r)
		p.world.post(p, r.AfterSync)
		if p.appliesAfterSync(r) {
			p.execute(r)
		}
	}
	p.answerReads(Ready{})
	p.node.Synced(group[len(group)-1].Sequence)
	p.work()
}

func (p *process) apply(e Entry) {
	w := p.world
	if e.Index != p.applied+1 {
		w.fail("%s applies %d after %d", p.id, e.Index, p.applied)
	}
	if first, seen := w.committed[e.Index]; seen && (first.Term != e.Term || string(first.Data) != string(e.Data)) {
		w.fail("%s commits another entry at %d: term %d %q, not term %d %q", p.id, e.Index, e.Term, e.Data, first.Term, first.Data)
	}
	w.committed[e.Index] = e
	p.applied = e.Index
	previous := p.value
	if e.Data != nil {
		p.value = decodeValue(e.Data)
	}
	for _, o := range p.proposed {
		if o.index == e.Index && !o.answered {
			o.answered = true
			if o.term == e.Term {
				w.record(o, previous, w.now)
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
			p.world.record(o, p.value, p.world.now)
			delete(p.reads, id)
		}
	}
}

// compact snapshots the applied state, as a process does between two syncs.
func (p *process) compact() {
	if len(p.queue) > 0 || p.applied == 0 {
		return
	}
	s := p.node.Compact(p.applied, encodeValue(p.value))
	p.disk.snapshot = &s
	p.disk.entries = slices.DeleteFunc(p.disk.entries, func(e Entry) bool { return e.Index <= s.Index })
}

// unknown records a swap that may or may not have happened.
func (w *world) unknown(o *operation) {
	if !o.answered {
		o.answered = true
		w.record(o, unknownOutput, math.MaxInt64)
	}
}

func (w *world) record(o *operation, output uint64, at int64) {
	w.history = append(w.history, porcupine.Operation{
		Input: *o, Call: o.call, Output: output, Return: at,
	})
}

func (w *world) syncTime() int64 {
	if w.random.IntN(10) == 0 {
		return 30 + w.random.Int64N(60)
	}
	return 1 + w.random.Int64N(4)
}

func (w *world) post(p *process, messages []Message) {
	for _, m := range messages {
		w.checkVote(m)
		if w.random.Float64() < w.lossy {
			continue
		}
		w.network = append(w.network, delivery{at: w.now + w.transit(), message: m})
		if w.random.Float64() < w.lossy/2 {
			w.network = append(w.network, delivery{at: w.now + w.transit()*3, message: m})
		}
	}
}

func (w *world) transit() int64 {
	if w.random.Float64() < w.lossy {
		return 20 + w.random.Int64N(150)
	}
	return 1 + w.random.Int64N(6)
}

// checkVote fails when a member votes twice in a term.
func (w *world) checkVote(m Message) {
	voter, candidate := m.From, m.To
	switch {
	case m.Kind == KindVote:
		candidate = m.From
	case m.Kind != KindVoteReply || m.Reject:
		return
	}
	key := fmt.Sprintf("%s in term %d", voter, m.Term)
	if first, voted := w.votes[key]; voted && first != candidate {
		w.fail("%s votes for %s and for %s", key, first, candidate)
	}
	w.votes[key] = candidate
}

func (w *world) checkLeader(p *process) {
	if p.node.role != Leader {
		return
	}
	if first, seen := w.leaders[p.node.term]; seen && first != p.id {
		w.fail("%s and %s lead term %d", first, p.id, p.node.term)
	}
	w.leaders[p.node.term] = p.id
	for _, other := range w.processes {
		if other.up && other.node.role == Leader && other.node.term < p.node.term && other.node.Status().LeaseTicks > 0 {
			w.fail("%s leads while %s holds a lease", p.id, other.id)
		}
	}
}

// step advances time by one unit.
func (w *world) step() {
	w.now++
	w.deliver()
	for _, p := range w.processes {
		if p.up && len(p.queue) > 0 && w.now >= p.syncAt {
			p.sync()
		}
		if p.up && (w.now+p.offset)%unitsPerTick == 0 {
			p.node.Tick()
			p.work()
		}
	}
}

func (w *world) deliver() {
	var due []Message
	waiting := w.network[:0]
	for _, d := range w.network {
		if d.at <= w.now {
			due = append(due, d.message)
		} else {
			waiting = append(waiting, d)
		}
	}
	w.network = waiting
	for _, m := range due {
		p := w.process(m.To)
		if p != nil && p.up && !w.cut[[2]ID{m.From, m.To}] {
			p.node.Step(m)
			p.work()
		}
	}
}

func (w *world) process(id ID) *process {
	for _, p := range w.processes {
		if p.id == id {
			return p
		}
	}
	return nil
}

// leader is the live leader of the highest term.
func (w *world) leader() *process {
	var found *process
	for _, p := range w.processes {
		if p.up && p.node.role == Leader && (found == nil || p.node.term > found.node.term) {
			found = p
		}
	}
	return found
}

// call lets a client swap or read the register at a random member.
func (w *world) call() {
	p := w.processes[w.random.IntN(len(w.processes))]
	if !p.up {
		return
	}
	if w.random.IntN(2) == 0 {
		w.nextRead++
		if p.node.ReadIndex(w.nextRead) == nil {
			p.reads[w.nextRead] = &operation{read: true, call: w.now}
		}
	} else {
		p.swap()
	}
	p.work()
}

func (p *process) swap() *operation {
	p.world.nextValue++
	o := &operation{swap: p.world.nextValue, call: p.world.now}
	var err error
	if o.index, o.term, err = p.node.Propose(encodeValue(o.swap)); err != nil {
		return nil
	}
	p.proposed = append(p.proposed, o)
	return o
}
