package claim

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"slices"
	"time"
)

// Options are the limits of a table. All instances of a log must use the same
// values.
type Options struct {
	// Claims is the maximum number of claims that have not expired.
	Claims int
	// Tombstones is the maximum number of retained keys without a timestamp,
	// expired or not.
	Tombstones int
	// AnswerBytes is the maximum total size of kept answers in bytes.
	AnswerBytes int
}

// DefaultOptions are the limits used by the control instances.
var DefaultOptions = Options{Claims: 500_000, Tombstones: 2_000_000, AnswerBytes: 64 << 20}

// digestSize is the size in bytes of the truncated key digest in a tombstone. A
// different key with the same digest would be refused as expired; with 2 million
// tombstones this affects one key in 10 to the power of 32.
const digestSize = 16

type digest [digestSize]byte

func digestOf(id ID) digest {
	sum := sha256.Sum256([]byte(id.Contract + "\x00" + id.Key))
	return digest(sum[:digestSize])
}

// Tombstone is the record of an expired key without a timestamp.
type Tombstone struct {
	Digest []byte `json:"digest"`
	// Expires is the time at which the tombstone is deleted, in milliseconds since
	// the Unix epoch.
	Expires int64 `json:"forget"`
}

// Table holds the claims. It is not safe for concurrent use.
type Table struct {
	options     Options
	claims      map[ID]*Claim
	tombstones  map[digest]int64
	answerBytes int
	// untimed is the number of claims whose key has no timestamp; each leaves a
	// tombstone when it expires.
	untimed int
	// claimDeadlines and tombstoneDeadlines hold the expiry times of claims and
	// tombstones.
	claimDeadlines     queue[ID]
	tombstoneDeadlines queue[digest]
}

type deadline[K any] struct {
	id K
	at int64
}

// queue holds deadlines in time order.
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

// popDue removes and returns the first deadline if it has passed.
func (q *queue[K]) popDue(clock int64) (deadline[K], bool) {
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

// Apply executes a command at the log's clock, which never goes backwards.
func (t *Table) Apply(command Command, clock time.Time) Reply {
	now := clock.UnixMilli()
	t.expire(now)
	switch {
	case command.Begin != nil:
		return t.begin(command.ID, *command.Begin, now)
	case command.Finish != nil:
		return t.finish(command.ID, *command.Finish)
	case command.Release != nil:
		return t.release(command.ID, *command.Release, now)
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
		// The attempt was released before its Begin arrived. Granting it now
		// would leave the claim in Started without an attempt that finishes it.
		return Reply{Verdict: Superseded, State: Free, Attempt: c.Attempt}
	default:
		return t.grant(c, begin)
	}
}

func (t *Table) create(id ID, begin Begin, now int64) Reply {
	if verdict := t.admit(id, now); verdict != Granted {
		return Reply{Verdict: verdict}
	}
	c := &Claim{ID: id, Expires: expiry(id.Key, now)}
	t.add(c)
	return t.grant(c, begin)
}

// admit returns Granted if a claim may be created for a key, otherwise the reason
// for the refusal.
func (t *Table) admit(id ID, now int64) Verdict {
	if id.Key == "" || len(id.Key) > MaxKey {
		return BadKey
	}
	at, timed := keyTime(id.Key)
	if timed && at.UnixMilli() > now+MaxSkew.Milliseconds() {
		return BadKey
	}
	if timed && at.UnixMilli()+Age.Milliseconds() <= now {
		return TooOld
	}
	if _, known := t.tombstones[digestOf(id)]; known {
		return TooOld
	}
	if len(t.claims) >= t.options.Claims || !timed && len(t.tombstones)+t.untimed >= t.options.Tombstones {
		return Full
	}
	return Granted
}

// expiry returns the expiry time of a new claim. From then on, a key with a
// timestamp is refused as too old because of that timestamp, so that there is no
// interval in which a retry could run.
func expiry(key string, now int64) int64 {
	if at, timed := keyTime(key); timed {
		now = max(now, at.UnixMilli())
	}
	return now + Age.Milliseconds()
}

func (t *Table) add(c *Claim) {
	t.claims[c.ID] = c
	t.answerBytes += c.Answer.size()
	if _, timed := keyTime(c.ID.Key); !timed {
		t.untimed++
	}
	t.claimDeadlines.push(deadline[ID]{id: c.ID, at: c.Expires})
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

func (t *Table) release(id ID, release Release, now int64) Reply {
	c, known := t.claims[id]
	if !known {
		return t.releaseEarly(id, release, now)
	}
	if c.Token != release.Token || c.State != Started {
		return Reply{Verdict: Superseded, State: c.State}
	}
	c.State = Free
	return Reply{Verdict: Noted, State: Free, Attempt: c.Attempt}
}

// releaseEarly records the release of an attempt whose Begin has not arrived yet,
// so that the Begin is not granted when it arrives.
func (t *Table) releaseEarly(id ID, release Release, now int64) Reply {
	if verdict := t.admit(id, now); verdict != Granted {
		return Reply{Verdict: verdict}
	}
	t.add(&Claim{ID: id, Token: release.Token, State: Free, Expires: expiry(id.Key, now)})
	return Reply{Verdict: Noted, State: Free}
}

func (t *Table) look(id ID, now int64) Reply {
	c, known := t.claims[id]
	if known {
		return Reply{Verdict: Noted, State: c.State, Attempt: c.Attempt, Answer: c.Answer}
	}
	if t.admit(id, now) == TooOld {
		return Reply{Verdict: TooOld, State: Expired}
	}
	return Reply{Verdict: None}
}

// expire replaces expired claims by tombstones and deletes expired tombstones.
func (t *Table) expire(now int64) {
	for d, due := t.claimDeadlines.popDue(now); due; d, due = t.claimDeadlines.popDue(now) {
		t.replaceByTombstone(t.claims[d.id])
	}
	for d, due := t.tombstoneDeadlines.popDue(now); due; d, due = t.tombstoneDeadlines.popDue(now) {
		delete(t.tombstones, d.id)
	}
}

// replaceByTombstone deletes a claim and adds a tombstone for its key. A key with
// a timestamp needs none: the timestamp suffices to refuse a late retry.
func (t *Table) replaceByTombstone(c *Claim) {
	t.answerBytes -= c.Answer.size()
	delete(t.claims, c.ID)
	if _, timed := keyTime(c.ID.Key); timed {
		return
	}
	t.untimed--
	t.addTombstone(digestOf(c.ID), c.Expires+(TombstoneAge-Age).Milliseconds())
}

func (t *Table) addTombstone(d digest, expires int64) {
	t.tombstones[d] = expires
	t.tombstoneDeadlines.push(deadline[digest]{id: d, at: expires})
}

// Len returns the number of claims that have not expired.
func (t *Table) Len() int { return len(t.claims) }

// Tombstones returns all tombstones, sorted by digest.
func (t *Table) Tombstones() []Tombstone {
	all := make([]Tombstone, 0, len(t.tombstones))
	for d, expires := range t.tombstones {
		all = append(all, Tombstone{Digest: bytes.Clone(d[:]), Expires: expires})
	}
	slices.SortFunc(all, func(a, b Tombstone) int { return bytes.Compare(a.Digest, b.Digest) })
	return all
}

// All returns all claims, sorted by contract and key.
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

// Restore fills an empty table with the results of All and Tombstones.
func (t *Table) Restore(all []Claim, tombstones []Tombstone) {
	claims := slices.Clone(all)
	slices.SortStableFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Expires, b.Expires) })
	for _, c := range claims {
		t.add(&c)
	}
	byExpiry := slices.Clone(tombstones)
	slices.SortStableFunc(byExpiry, func(a, b Tombstone) int { return cmp.Compare(a.Expires, b.Expires) })
	for _, tombstone := range byExpiry {
		t.addTombstone(digest(tombstone.Digest), tombstone.Expires)
	}
}
