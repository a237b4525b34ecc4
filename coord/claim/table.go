package claim

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"slices"
	"time"
)

// Options bound a table. Every instance of one log must use the same.
type Options struct {
	// Claims is the most claims that have not expired.
	Claims int
	// Tombstones is the most keys without a time of their own that are
	// remembered, expired or not.
	Tombstones int
	// AnswerBytes is the most bytes of kept answers.
	AnswerBytes int
}

// DefaultOptions are the bounds of the control instances.
var DefaultOptions = Options{Claims: 500_000, Tombstones: 2_000_000, AnswerBytes: 64 << 20}

// digestSize is how much of a key's digest a tombstone keeps, in bytes. A
// foreign key with the same digest would be refused as expired; with 2 million
// tombstones that happens to one key in 10 to the power of 32.
const digestSize = 16

type digest [digestSize]byte

func digestOf(id ID) digest {
	sum := sha256.Sum256([]byte(id.Contract + "\x00" + id.Key))
	return digest(sum[:digestSize])
}

// Tombstone is what is left of an expired key that carries no time.
type Tombstone struct {
	Digest []byte `json:"digest"`
	// Forget is when it is forgotten, in milliseconds since 1970.
	Forget int64 `json:"forget"`
}

// Table holds the claims. One duty owns it.
type Table struct {
	options     Options
	claims      map[ID]*Claim
	tombstones  map[digest]int64
	answerBytes int
	// plain counts the claims that will leave a tombstone.
	plain int
	// expiring and forgetting are in the order in which claims expire and
	// tombstones are forgotten.
	expiring   queue[ID]
	forgetting queue[digest]
}

type deadline[K any] struct {
	id K
	at int64
}

// queue holds deadlines in order of time.
type queue[K any] []deadline[K]

func (q *queue[K]) push(d deadline[K]) {
	at, _ := slices.BinarySearchFunc(*q, d, func(a, b deadline[K]) int {
		if a.at != b.at {
			return cmp.Compare(a.at, b.at)
		}
		return -1
	})
	*q = slices.Insert(*q, at, d)
}

// due removes and returns the first deadline that has come.
func (q *queue[K]) due(clock int64) (deadline[K], bool) {
	if len(*q) == 0 || (*q)[0].at > clock {
		return deadline[K]{}, false
	}
	first := (*q)[0]
	*q = (*q)[1:]
	return first, true
}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	return &Table{options: options, claims: make(map[ID]*Claim), tombstones: make(map[digest]int64)}
}

// Apply executes a command at the log's clock, which never steps back.
func (t *Table) Apply(command Command, clock time.Time) Reply {
	now := clock.UnixMilli()
	t.expire(now)
	switch {
	case command.Begin != nil:
		return t.begin(command.ID, *command.Begin, now)
	case command.Finish != nil:
		return t.finish(command.ID, *command.Finish)
	case command.Free != nil:
		return t.release(command.ID, *command.Free, now)
	default:
		return t.look(command.ID, now)
	}
}

func (t *Table) begin(id ID, begin Begin, now int64) Reply {
	c, known := t.claims[id]
	if !known {
		return t.create(id, begin, now)
	}
	if c.Fingerprint != nil && !bytes.Equal(c.Fingerprint, begin.Fingerprint) {
		return Reply{Verdict: Mismatch, State: c.State}
	}
	switch {
	case c.State == Finished:
		return Reply{Verdict: Replay, State: Finished, Attempt: c.Attempt, Answer: c.Answer}
	case c.State == Started && c.Token == begin.Token:
		return Reply{Verdict: Granted, State: Started, Attempt: c.Attempt}
	case c.State == Started:
		return Reply{Verdict: InDoubt, State: Started, Attempt: c.Attempt}
	case c.Token == begin.Token:
		// The attempt gave up before its Begin arrived. Granting it now
		// would leave the claim started by nobody.
		return Reply{Verdict: Superseded, State: Free, Attempt: c.Attempt}
	default:
		return t.grant(c, begin)
	}
}

func (t *Table) create(id ID, begin Begin, now int64) Reply {
	if verdict := t.admits(id, now); verdict != Granted {
		return Reply{Verdict: verdict}
	}
	c := &Claim{ID: id, Expires: expiry(id.Key, now)}
	t.add(c)
	return t.grant(c, begin)
}

// admits says whether a new claim may be created for a key.
func (t *Table) admits(id ID, now int64) Verdict {
	if id.Key == "" || len(id.Key) > MaxKey {
		return BadKey
	}
	at, carries := keyTime(id.Key)
	if carries && at.UnixMilli() > now+MaxSkew.Milliseconds() {
		return BadKey
	}
	if carries && at.UnixMilli()+Age.Milliseconds() <= now {
		return TooOld
	}
	if _, known := t.tombstones[digestOf(id)]; known {
		return TooOld
	}
	if len(t.claims) >= t.options.Claims || !carries && len(t.tombstones)+t.plain >= t.options.Tombstones {
		return Full
	}
	return Granted
}

// expiry is when a new claim expires. A key that carries its time is too old
// by itself from then on, so that no resend finds a gap.
func expiry(key string, now int64) int64 {
	if at, carries := keyTime(key); carries {
		now = max(now, at.UnixMilli())
	}
	return now + Age.Milliseconds()
}

func (t *Table) add(c *Claim) {
	t.claims[c.ID] = c
	t.answerBytes += c.Answer.size()
	if _, carries := keyTime(c.ID.Key); !carries {
		t.plain++
	}
	t.expiring.push(deadline[ID]{id: c.ID, at: c.Expires})
}

func (t *Table) grant(c *Claim, begin Begin) Reply {
	c.Attempt++
	c.Token = begin.Token
	c.Fingerprint = begin.Fingerprint
	c.State = Started
	return Reply{Verdict: Granted, State: Started, Attempt: c.Attempt}
}

func (t *Table) finish(id ID, finish Finish) Reply {
	c, known := t.claims[id]
	if !known {
		return Reply{Verdict: TooOld, State: Expired}
	}
	if c.Token != finish.Token || c.State == Free {
		return Reply{Verdict: Superseded, State: c.State}
	}
	if c.State == Finished {
		return Reply{Verdict: Noted, State: Finished}
	}
	answer := finish.Answer
	if size := answer.size(); size > MaxAnswer || t.answerBytes+size > t.options.AnswerBytes {
		answer = Answer{Status: answer.Status}
	}
	c.State, c.Answer = Finished, &answer
	t.answerBytes += answer.size()
	return Reply{Verdict: Noted, State: Finished, Attempt: c.Attempt}
}

func (t *Table) release(id ID, done Done, now int64) Reply {
	c, known := t.claims[id]
	if !known {
		return t.withdraw(id, done, now)
	}
	if c.Token != done.Token || c.State != Started {
		return Reply{Verdict: Superseded, State: c.State}
	}
	c.State = Free
	return Reply{Verdict: Noted, State: Free, Attempt: c.Attempt}
}

// withdraw remembers an attempt whose Begin has not arrived yet, so that it is
// not granted when it does.
func (t *Table) withdraw(id ID, done Done, now int64) Reply {
	if verdict := t.admits(id, now); verdict != Granted {
		return Reply{Verdict: verdict}
	}
	t.add(&Claim{ID: id, Token: done.Token, State: Free, Expires: expiry(id.Key, now)})
	return Reply{Verdict: Noted, State: Free}
}

func (t *Table) look(id ID, now int64) Reply {
	c, known := t.claims[id]
	if known {
		return Reply{Verdict: Noted, State: c.State, Attempt: c.Attempt, Answer: c.Answer}
	}
	if t.admits(id, now) == TooOld {
		return Reply{Verdict: TooOld, State: Expired}
	}
	return Reply{Verdict: None}
}

// expire turns claims into tombstones and forgets old tombstones.
func (t *Table) expire(now int64) {
	for d, due := t.expiring.due(now); due; d, due = t.expiring.due(now) {
		t.replaceByTombstone(t.claims[d.id])
	}
	for d, due := t.forgetting.due(now); due; d, due = t.forgetting.due(now) {
		delete(t.tombstones, d.id)
	}
}

// replaceByTombstone needs no tombstone for a key that carries its own time: a
// late resend is refused by that.
func (t *Table) replaceByTombstone(c *Claim) {
	t.answerBytes -= c.Answer.size()
	delete(t.claims, c.ID)
	if _, carries := keyTime(c.ID.Key); carries {
		return
	}
	t.plain--
	t.remember(digestOf(c.ID), c.Expires+(TombstoneAge-Age).Milliseconds())
}

func (t *Table) remember(d digest, forget int64) {
	t.tombstones[d] = forget
	t.forgetting.push(deadline[digest]{id: d, at: forget})
}

// Len counts the claims that have not expired.
func (t *Table) Len() int { return len(t.claims) }

// Tombstones returns every tombstone in the order of the digests.
func (t *Table) Tombstones() []Tombstone {
	all := make([]Tombstone, 0, len(t.tombstones))
	for d, forget := range t.tombstones {
		all = append(all, Tombstone{Digest: bytes.Clone(d[:]), Forget: forget})
	}
	slices.SortFunc(all, func(a, b Tombstone) int { return bytes.Compare(a.Digest, b.Digest) })
	return all
}

// All returns every claim in the order of contract and key.
func (t *Table) All() []Claim {
	all := make([]Claim, 0, len(t.claims))
	for _, c := range t.claims {
		all = append(all, *c)
	}
	slices.SortFunc(all, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.ID.Contract, b.ID.Contract), cmp.Compare(a.ID.Key, b.ID.Key))
	})
	return all
}

// Restore puts back what All and Tombstones returned into an empty table.
func (t *Table) Restore(all []Claim, tombstones []Tombstone) {
	byTime := slices.Clone(all)
	slices.SortStableFunc(byTime, func(a, b Claim) int { return cmp.Compare(a.Expires, b.Expires) })
	for _, c := range byTime {
		t.add(&c)
	}
	oldest := slices.Clone(tombstones)
	slices.SortStableFunc(oldest, func(a, b Tombstone) int { return cmp.Compare(a.Forget, b.Forget) })
	for _, tombstone := range oldest {
		t.remember(digest(tombstone.Digest), tombstone.Forget)
	}
}
