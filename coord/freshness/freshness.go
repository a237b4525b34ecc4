// Package freshness decides whether a daemon's copy of the configuration may
// still be relied on.
//
// A change that was accepted at time T must be in force everywhere a bounded
// time later. A daemon that is cut off cannot learn of it, so it needs a proof
// that nothing newer was accepted, and the proof must be young. A proof names a
// moment: every change that was accepted before it is in the daemon's copy. A
// daemon that admits only while its proof is younger than Lease never admits
// under a contract that was superseded more than Lease ago.
//
// A control instance gives a proof when a quorum confirms its log. Without one,
// the daemon asks all control instances for the ends of their logs: an accepted
// change lies on a majority of them, so it is seen in the answers of any
// majority. When too few answer, it counts those whose machine refuses the
// connection: no control instance runs there. When the others are no majority,
// nothing can be accepted. The silent ones count as running and able to accept.
//
// All times are the daemon's own clock, taken when it sent the question.
package freshness

import (
	"fmt"
	"slices"
	"time"
)

// DefaultLease is how old a proof may be before the daemon stops admitting.
const DefaultLease = 3 * time.Second

// Kind says what a daemon knows about its copy.
type Kind string

const (
	// Fresh means that every change accepted before AsOf is in the copy.
	Fresh Kind = "fresh"
	// Unchangeable means that the copy could not be confirmed, but that too
	// few control instances run to accept a change.
	Unchangeable Kind = "unchangeable"
	// CutOff means that a change may have been accepted without the daemon.
	CutOff Kind = "cut-off"
)

// State is what a daemon knows at one moment, with its reason.
type State struct {
	Kind Kind `json:"kind"`
	// AsOf is the moment of the last proof; zero when there was none.
	AsOf time.Time `json:"asOf"`
	// HaltedAt is when too few control instances to elect a leader were last
	// seen, if Kind is Unchangeable.
	HaltedAt time.Time `json:"haltedAt,omitzero"`
	Reason   string    `json:"reason"`
}

// MayAdmit reports whether requests may be admitted under the copy. The zero
// State admits nothing.
func (s State) MayAdmit() bool { return s.Kind == Fresh || s.Kind == Unchangeable }

// Standing is what a control instance says of itself.
type Standing struct {
	// Term, LastIndex and Applied describe its log: the highest term, the
	// last entry, accepted or not, and the last entry in its state.
	Term      uint64 `json:"term"`
	LastIndex uint64 `json:"lastIndex"`
	Applied   uint64 `json:"applied"`
	// ConfigIndex is the last entry in its state that daemons follow.
	ConfigIndex uint64 `json:"configIndex"`
	// Leader names the leader that it knows, empty for none.
	Leader string `json:"leader,omitempty"`
	// Confirmed means that a quorum confirmed, ConfirmedAge before the
	// question arrived, that every entry accepted until then is in its
	// state. The age is negative when that was after the arrival, as it can
	// be when an answer waits for news.
	Confirmed    bool          `json:"confirmed"`
	ConfirmedAge time.Duration `json:"confirmedAge,omitempty"`
	// ConfirmedIndex is the last entry then that daemons follow. Later ones
	// need not be in a daemon's copy for the proof to hold.
	ConfirmedIndex uint64 `json:"confirmedIndex,omitempty"`
	// Voter means that it votes itself: its log is part of a quorum. An
	// instance that lost its disk and waits to be let in again is none, and
	// nor is a learner.
	Voter bool `json:"voter,omitempty"`
	// Voters are the addresses of the voters by the last membership in its
	// log, accepted or not; empty when it knows none.
	Voters []string `json:"voters,omitempty"`
}

// Options configure a tracker.
type Options struct {
	// Lease is how old a proof may be.
	Lease time.Duration
}

// Tracker follows what a daemon can prove. It is not safe for concurrent use.
type Tracker struct {
	options Options
	index   uint64
	// proven is the moment of the youngest proof.
	proven time.Time
	// halted is the last moment at which too few instances ran.
	halted time.Time
	// voters are those of the last confirmed answer.
	voters []string
	// reason is from the followed instance. probeReason is from the last
	// round since the last proof and says more; empty without one.
	reason      string
	probeReason string
	haltReason  string
}

// NewTracker returns a tracker without any proof.
func NewTracker(options Options) *Tracker {
	if options.Lease == 0 {
		options.Lease = DefaultLease
	}
	return &Tracker{options: options, reason: "no control instance has answered yet"}
}

// Advance tells the index that the daemon's copy stands at.
func (t *Tracker) Advance(index uint64) { t.index = max(t.index, index) }

// Answer takes in the standing that one control instance gave to a question
// sent at the given time. It counts as a proof only when the instance was
// confirmed by a quorum and the copy has reached its state.
func (t *Tracker) Answer(standing Standing, sent time.Time) {
	if standing.Confirmed {
		t.voters = standing.Voters
	}
	switch {
	case !standing.Confirmed:
		t.reason = "the control instance has no quorum behind it"
	case t.index < standing.ConfirmedIndex:
		t.reason = "the copy is behind the control instance"
	default:
		t.prove(sent.Add(-standing.ConfirmedAge))
	}
}

func (t *Tracker) prove(moment time.Time) {
	if moment.After(t.proven) {
		t.proven, t.probeReason = moment, ""
	}
}

// Answer is the standing of the instance at an address.
type Answer struct {
	Address string
	Standing
}

// Round is the outcome of asking every control instance at about the same time.
type Round struct {
	// Sent is when the first question was sent.
	Sent time.Time
	// Answers are the standings of the instances that answered.
	Answers []Answer
	// Refused are the addresses whose machine refused the connection: no
	// control instance runs there. Silence is not a refusal.
	Refused []string
}

// Probe takes in a round.
func (t *Tracker) Probe(round Round) {
	for _, answer := range round.Answers {
		t.Answer(answer.Standing, round.Sent)
	}
	voting := slices.DeleteFunc(slices.Clone(round.Answers), func(a Answer) bool { return !a.Voter })
	switch {
	case isMajority(voting) && t.wholeIn(voting):
		t.prove(round.Sent)
	case isMajority(voting):
		t.probeReason = "the logs of the control instances hold entries that are not settled"
	case t.noneCanAccept(voting, round.Refused):
		t.halt(round)
	default:
		t.probeReason = fmt.Sprintf("only %d of the voting control instances answer, and no quorum confirms them", len(voting))
	}
}

// isMajority reports whether the answers come from a majority of the voters, by
// the membership of each of them. A change of the membership overlaps with a
// majority of the one before, so that the last one accepted is among these.
func isMajority(voting []Answer) bool {
	for _, answer := range voting {
		count := 0
		for _, other := range voting {
			if slices.Contains(answer.Voters, other.Address) {
				count++
			}
		}
		if count <= len(answer.Voters)/2 {
			return false
		}
	}
	return len(voting) > 0
}

// noneCanAccept reports whether the voters that do not refuse are no majority,
// by every membership that is known.
func (t *Tracker) noneCanAccept(voting []Answer, refused []string) bool {
	if !tooFew(t.voters, refused) {
		return false
	}
	for _, answer := range voting {
		if !tooFew(answer.Voters, refused) {
			return false
		}
	}
	return true
}

func tooFew(voters, refused []string) bool {
	if len(voters) == 0 {
		return false
	}
	left := 0
	for _, address := range voters {
		if !slices.Contains(refused, address) {
			left++
		}
	}
	return left <= len(voters)/2
}

// wholeIn reports whether the answers of a majority of the voters show that the copy is
// whole: an instance has applied the last entry that any of them holds, and the
// copy has reached that instance's state.
func (t *Tracker) wholeIn(voting []Answer) bool {
	var last uint64
	for _, standing := range voting {
		last = max(last, standing.LastIndex)
	}
	for _, standing := range voting {
		if standing.Applied >= last && t.index >= standing.ConfigIndex {
			return true
		}
	}
	return false
}

// halt notes that nothing can be accepted at the moment. The copy must have
// what the instances that still answer hold.
func (t *Tracker) halt(round Round) {
	for _, standing := range round.Answers {
		if t.index < standing.ConfigIndex {
			t.probeReason = "the copy is behind a control instance"
			return
		}
	}
	if t.proven.IsZero() || round.Sent.Sub(t.last()) > t.options.Lease {
		// A change may have been accepted in the meantime by instances that
		// do not run any more.
		t.probeReason = "control has no quorum and the copy was not confirmed before it was lost"
		return
	}
	t.halted = round.Sent
	t.haltReason = fmt.Sprintf("%d control instances do not run, and without them nothing can be accepted", len(round.Refused))
}

// last is the last moment up to which nothing is missing.
func (t *Tracker) last() time.Time {
	if t.halted.After(t.proven) {
		return t.halted
	}
	return t.proven
}

// ProbeDue reports whether the proof is old enough to ask every instance. Half
// the lease is left for the answers. A longer lease than the default delays no
// question: changes are to be learned as soon as with the default.
func (t *Tracker) ProbeDue(now time.Time) bool {
	return now.Sub(t.proven) >= min(t.options.Lease, DefaultLease)/2
}

// State returns what the daemon knows now.
func (t *Tracker) State(now time.Time) State {
	switch {
	case !t.proven.IsZero() && now.Sub(t.proven) <= t.options.Lease:
		return State{Kind: Fresh, AsOf: t.proven, Reason: "confirmed by control"}
	case !t.halted.IsZero() && now.Sub(t.halted) <= t.options.Lease:
		return State{Kind: Unchangeable, AsOf: t.proven, HaltedAt: t.halted, Reason: t.haltReason}
	case t.probeReason != "":
		return State{Kind: CutOff, AsOf: t.proven, Reason: t.probeReason}
	default:
		return State{Kind: CutOff, AsOf: t.proven, Reason: t.reason}
	}
}
