package quota

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

// Intervals of the simulated entries. They are those of the daemons.
const (
	simTick        = time.Millisecond
	simLatency     = time.Millisecond
	idleInterval   = 500 * time.Millisecond
	shortInterval  = 100 * time.Millisecond
	expireInterval = 100 * time.Millisecond
)

// scenario is a pseudo-random load on entries in simulated time, with a fixed seed.
type scenario struct {
	entries int
	agreed  []contract.Contract
	// rate is the number of offered requests per second, weights the probability
	// of each entry.
	rate    float64
	weights []float64
	tokens  int64
	run     time.Duration
	seconds int
	// at are events by the second at which they happen.
	at map[int]func(*simulation)
	// measure enables counting message bytes and the time spent on encoding and
	// decoding them.
	measure bool
}

// simulation runs a scenario against holders and an owner.
type simulation struct {
	scenario
	rng       *rand.Rand
	now       time.Time
	owner     *Owner
	epoch     uint64
	contracts map[string]contract.Contract
	// followed are the contracts as the entries know them.
	followed  map[string]contract.Contract
	holders   []*simHolder
	events    eventQueue
	nextID    RequestID
	down      bool
	expiredAt time.Time

	offered, admitted, refused int
	admittedAt                 []int
	waits                      []time.Duration
	messages, bytes            int
	ownerTime                  time.Duration
	// codecTime is the owner's time for encoding and decoding messages,
	// entryTime that of all entries for decisions and messages.
	codecTime, entryTime time.Duration
	// offeredTo counts the requests offered to each entry.
	offeredTo map[int]int
	// admittedBy counts the requests that each entry admitted, admittedID is
	// the time at which each request was admitted.
	admittedBy map[int]int
	admittedID map[RequestID]time.Time
}

type simHolder struct {
	*Holder
	nextRenewal time.Time
}

type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func simulate(s scenario) *simulation {
	sim := &simulation{
		scenario:   s,
		rng:        rand.New(rand.NewPCG(20261203, 6)),
		now:        time.Unix(1_000_000, 0),
		contracts:  make(map[string]contract.Contract),
		offeredTo:  make(map[int]int),
		admittedBy: make(map[int]int),
		admittedID: make(map[RequestID]time.Time),
	}
	for _, agreed := range s.agreed {
		sim.contracts[agreed.ID] = agreed
	}
	sim.followed = sim.contracts
	sim.newOwner(sim.now.Add(-2 * time.Minute))
	for i := range s.entries {
		sim.holders = append(sim.holders, &simHolder{Holder: NewHolder(DefaultOptions(), fmt.Sprint("entry-", i), 1)})
	}
	begin := sim.now
	for second := range s.seconds {
		if do, ok := s.at[second]; ok {
			do(sim)
		}
		sim.admittedAt = append(sim.admittedAt, 0)
		for end := begin.Add(time.Duration(second+1) * time.Second); sim.now.Before(end); sim.now = sim.now.Add(simTick) {
			sim.tick()
		}
	}
	return sim
}

func (s *simulation) newOwner(began time.Time) {
	s.epoch++
	s.owner = NewOwner(DefaultOptions(), Tenure{Epoch: s.epoch, Began: began}, func(id string) (contract.Contract, bool) {
		agreed, ok := s.contracts[id]
		return agreed, ok
	})
}

func (s *simulation) after(d time.Duration, do func()) { heap.Push(&s.events, event{s.now.Add(d), do}) }

func (s *simulation) tick() {
	for len(s.events) > 0 && !s.events[0].at.After(s.now) {
		heap.Pop(&s.events).(event).do()
	}
	if s.owner != nil && s.now.Sub(s.expiredAt) >= expireInterval {
		begin := time.Now()
		s.owner.Expire(s.now)
		s.ownerTime += time.Since(begin)
		s.expiredAt = s.now
	}
	for n := s.arrivals(); n > 0; n-- {
		s.arrive()
	}
	for i, h := range s.holders {
		if due, ok := h.NextTick(s.now); ok && !due.After(s.now) {
			s.act(i, h.Tick(s.now))
		}
		if h.InUse() > 0 && h.pending == 0 && (h.Urgent(s.now) || !h.nextRenewal.After(s.now)) {
			s.renew(i, h)
		}
	}
}

// arrivals returns a random number of requests for one tick.
func (s *simulation) arrivals() int {
	mean := s.rate * simTick.Seconds()
	n := int(mean)
	if s.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

func (s *simulation) arrive() {
	s.offered++
	s.nextID++
	i := s.pickEntry()
	s.offeredTo[i]++
	agreed := s.followed[s.agreed[s.rng.IntN(len(s.agreed))].ID]
	s.act(i, s.holders[i].Request(s.now, Request{ID: s.nextID, Contract: agreed, Tokens: s.tokens}))
}

func (s *simulation) pickEntry() int {
	if s.weights == nil {
		return s.rng.IntN(s.entries)
	}
	x := s.rng.Float64()
	for i, w := range s.weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(s.weights) - 1
}

func (s *simulation) act(i int, actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Admit:
			s.admitted++
			s.admittedAt[len(s.admittedAt)-1]++
			s.admittedBy[i]++
			s.admittedID[action.ID] = s.now
			s.waits = append(s.waits, action.Waited)
			h := s.holders[i]
			s.after(s.run, func() { s.act(i, h.Settle(s.now, action.ID, Use{Tokens: -1})) })
		case Refuse:
			s.refused++
		}
	}
}

func (s *simulation) renew(i int, h *simHolder) {
	all := !h.nextRenewal.After(s.now)
	if all {
		h.nextRenewal = s.now.Add(idleInterval)
	}
	begin := time.Now()
	renewal := h.Renewal(s.now, all)
	s.entryTime += time.Since(begin)
	s.messages++
	s.measureMessage(renewal, new(Renewal), &s.entryTime, &s.codecTime)
	s.after(simLatency, func() {
		if s.down {
			h.RenewalFailed()
			return
		}
		begin := time.Now()
		reply := s.owner.Renew(s.now, renewal)
		s.ownerTime += time.Since(begin)
		s.measureMessage(reply, new(Reply), &s.codecTime, &s.entryTime)
		s.after(simLatency, func() {
			begin := time.Now()
			actions := h.Reply(s.now, reply)
			s.entryTime += time.Since(begin)
			if soon := s.now.Add(shortInterval); soon.Before(h.nextRenewal) && h.Short() {
				h.nextRenewal = soon
			}
			s.act(i, actions)
		})
	})
}

// measureMessage adds the size of a message, and the times for encoding it at the
// sender and decoding it at the receiver.
func (s *simulation) measureMessage(message, into any, sender, receiver *time.Duration) {
	if !s.measure {
		return
	}
	begin := time.Now()
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	*sender += time.Since(begin)
	s.bytes += len(data)
	begin = time.Now()
	if err := json.Unmarshal(data, into); err != nil {
		panic(err)
	}
	*receiver += time.Since(begin)
}

func (s *simulation) restart(i int) {
	h := s.holders[i]
	s.holders[i] = &simHolder{Holder: NewHolder(DefaultOptions(), h.name, h.incarnation+1)}
}

func testContract(id string, rate float64, tokens int64, slots int) contract.Contract {
	return contract.Contract{ID: id, Revision: 1, Share: 1, Limits: contract.Limits{
		RequestsPerSecond: rate, TokensPerMinute: tokens, Concurrency: slots, MaxWait: 2 * time.Second,
	}}
}

// ideal returns the number of requests that one bucket for all entries would admit in
// a steady overload.
func ideal(limits contract.Limits, tokens int64, seconds int) float64 {
	admitted := capacity(requestBucket, limits) + refill(requestBucket, limits)*float64(seconds)
	if tokens > 0 {
		byTokens := capacity(tokenBucket, limits) + refill(tokenBucket, limits)*float64(seconds)
		admitted = min(admitted, byTokens/float64(tokens))
	}
	return admitted
}
