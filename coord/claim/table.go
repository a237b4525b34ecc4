package claim

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Options bound a table. Every instance of one log must use the same.
type Options struct {
	// Claims is the most claims, tombstones included.
	Claims int
	// AnswerBytes is the most bytes of kept answers.
	AnswerBytes int
}

// DefaultOptions are the bounds of the control instances.
var DefaultOptions = Options{Claims: 500_000, AnswerBytes: 64 << 20}

// Table holds the claims. One duty owns it.
type Table struct {
	options     Options
	claims      map[ID]*Claim
	answerBytes int
	// expiring and buried are in the order in which claims expire and
	// tombstones are forgotten. An entry whose claim meanwhile has another
	// time is stale and is skipped.
	expiring queue
	buried   queue
}

type deadline struct {
	id ID
	at int64
}

// queue holds deadlines in order of time.
type queue []deadline

func (q *queue) push(d deadline) {
	at, _ := slices.BinarySearchFunc(*q, d, func(a, b deadline) int {
		if a.at != b.at {
			return cmp.Compare(a.at, b.at)
		}
		return -1
	})
	*q = slices.Insert(*q, at, d)
}

// due removes and returns the first deadline that has come.
func (q *queue) due(clock int64) (deadline, bool) {
	if len(*q) == 0 || (*q)[0].at > clock {
		return deadline{}, false
	}
	first := (*q)[0]
	*q = (*q)[1:]
	return first, true
}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	return &Table{options: options, claims: make(map[ID]*Claim)}
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
	if c.State == Expired {
		return Reply{Verdict: TooOld, State: Expired}
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
	if len(t.claims) >= t.options.Claims {
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
	if c.State == Expired {
		t.buried.push(deadline{id: c.ID, at: c.Expires})
		return
	}
	t.expiring.push(deadline{id: c.ID, at: c.Expires})
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
	if !known || c.State == Expired {
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
		t.bury(t.claims[d.id])
	}
	for d, due := t.buried.due(now); due; d, due = t.buried.due(now) {
		delete(t.claims, d.id)
	}
}

func (t *Table) bury(c *Claim) {
	t.answerBytes -= c.Answer.size()
	if _, carries := keyTime(c.ID.Key); carries {
		delete(t.claims, c.ID)
		return
	}
	*c = Claim{ID: c.ID, State: Expired, Expires: c.Expires + (TombstoneAge - Age).Milliseconds()}
	t.buried.push(deadline{id: c.ID, at: c.Expires})
}

// Len counts the claims, tombstones included.
func (t *Table) Len() int { return len(t.claims) }

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

// Restore puts back what All returned into an empty table.
func (t *Table) Restore(all []Claim) {
	byTime := slices.Clone(all)
	slices.SortStableFunc(byTime, func(a, b Claim) int { return cmp.Compare(a.Expires, b.Expires) })
	for _, c := range byTime {
		t.add(&c)
	}
}
