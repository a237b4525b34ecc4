// Package freshness decides whether a daemon's copy of the configuration is
// recent enough to admit requests under it.
//
// A change that is accepted at time T must take effect everywhere within a
// bounded time. A partitioned daemon cannot learn of the change, so it needs a
// recent proof that nothing newer was accepted. A proof carries a timestamp:
// every change accepted before it is in the daemon's copy. A daemon that admits
// only while its proof is younger than Lease never admits under a contract that
// was superseded more than Lease ago.
//
// A control instance supplies a proof when a quorum confirms its log. Without a
// quorum, the daemon asks all control instances for the last index of their
// logs: an accepted change is stored on a majority of them, so the answers of
// any majority show it. When fewer than a majority answer, the daemon counts the
// addresses that refuse the connection, because no control instance runs there.
// If the remaining instances are not a majority, no change can be accepted.
// Instances that neither answer nor refuse count as running and able to accept.
//
// All times are read from the daemon's own clock when it sends the question.
package freshness

import (
	"fmt"
	"slices"
	"time"
)

// DefaultLease is the age of a proof above which the daemon stops admitting.
const DefaultLease = 3 * time.Second

// Kind classifies what a daemon knows about its copy.
type Kind string

const (
	// Fresh means that every change accepted before AsOf is in the copy.
	Fresh Kind = "fresh"
	// Unchangeable means that the copy could not be confirmed, but that fewer
	// control instances run than a quorum, so that no change can be accepted.
	Unchangeable Kind = "unchangeable"
	// CutOff means that a change may have been accepted that the daemon has not
	// received.
	CutOff Kind = "cut-off"
)

// State is a daemon's knowledge of its copy at one time, with the reason for it.
type State struct {
	Kind Kind `json:"kind"`
	// AsOf is the timestamp of the last proof; zero if there is none.
	AsOf time.Time `json:"asOf"`
	// HaltedAt is when the daemon last saw too few control instances running
	// to elect a leader. It is set if Kind is Unchangeable.
	HaltedAt time.Time `json:"haltedAt,omitzero"`
	Reason   string    `json:"reason"`
}

// MayAdmit reports whether requests may be admitted under the copy. The zero
// State admits nothing.
func (s State) MayAdmit() bool { return s.Kind == Fresh || s.Kind == Unchangeable }

// Standing is the status that a control instance reports about its log.
type Standing struct {
	// Term is the highest term in the log, LastIndex the index of the last
	// entry, committed or not, and Applied the index of the last entry applied
	// to the instance's state.
	Term      uint64 `json:"term"`
	LastIndex uint64 `json:"lastIndex"`
	Applied   uint64 `json:"applied"`
	// ConfigIndex is the index of the last applied entry that daemons follow.
	ConfigIndex uint64 `json:"configIndex"`
	// Leader is the name of the leader known to the instance; empty if none.
	Leader string `json:"leader,omitempty"`
	// Confirmed means that, ConfirmedAge before the question arrived, a quorum
	// confirmed that every entry accepted by then is applied to the instance's
	// state. The age is negative if the confirmation came after the question,
	// which happens when the answer is held until there is a change.
	Confirmed    bool          `json:"confirmed"`
	ConfirmedAge time.Duration `json:"confirmedAge,omitempty"`
	// ConfirmedIndex is the index of the last entry that daemons follow at the
	// time of the confirmation. The proof is valid for a copy without later
	// entries.
	ConfirmedIndex uint64 `json:"confirmedIndex,omitempty"`
	// Voter reports whether the instance votes, so that its log counts towards
	// a quorum. Learners do not vote, nor does an instance that lost its disk
	// and has not been readmitted.
	Voter bool `json:"voter,omitempty"`
	// Voters are the addresses of the voters according to the last membership
	// in the instance's log, committed or not; empty if it knows none.
	Voters []string `json:"voters,omitempty"`
}

// Options configures a Tracker.
type Options struct {
	// Lease is the maximum age of a proof.
	Lease time.Duration
}

// Tracker records the proofs that a daemon has for its copy. It is not safe for
// concurrent use.
type Tracker struct {
	options Options
	index   uint64
	// provenAt is the timestamp of the most recent proof.
	provenAt time.Time
	// haltedAt is when too few instances for a quorum were last seen running.
	haltedAt time.Time
	// voters are the voters listed in the last confirmed answer.
	voters []string
	// reason comes from the followed instance. probeReason comes from the last
	// round since the last proof and is more specific; empty if there was no
	// such round.
	reason      string
	probeReason string
	haltReason  string
}

// NewTracker returns a Tracker without a proof.
func NewTracker(options Options) *Tracker {
	if options.Lease == 0 {
		options.Lease = DefaultLease
	}
	return &Tracker{options: options, reason: "no control instance has answered yet"}
}

// Advance raises the index of the daemon's copy to index.
func (t *Tracker) Advance(index uint64) { t.index = max(t.index, index) }

// Answer records the standing that one control instance returned to a question
// sent at the given time. It counts as a proof only if a quorum confirmed the
// instance and the copy has reached the confirmed index.
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
		t.recordProof(sent.Add(-standing.ConfirmedAge))
	}
}

func (t *Tracker) recordProof(at time.Time) {
	if at.After(t.provenAt) {
		t.provenAt, t.probeReason = at, ""
	}
}

// Answer is the standing of the control instance at an address.
type Answer struct {
	Address string
	Standing
}

// Round is the result of asking every control instance at about the same time.
type Round struct {
	// Sent is when the first question was sent.
	Sent time.Time
	// Answers are the standings of the instances that answered.
	Answers []Answer
	// Refused are the addresses that refused the connection, where no control
	// instance runs. A timeout is not a refusal.
	Refused []string
}

// Probe records the result of a round.
func (t *Tracker) Probe(round Round) {
	for _, answer := range round.Answers {
		t.Answer(answer.Standing, round.Sent)
	}
	voting := slices.DeleteFunc(slices.Clone(round.Answers), func(a Answer) bool { return !a.Voter })
	switch {
	case isMajority(voting) && t.isComplete(voting):
		t.recordProof(round.Sent)
	case isMajority(voting):
		t.probeReason = "the logs of the control instances hold entries that are not settled"
	case t.quorumLost(voting, round.Refused):
		t.recordHalt(round)
	default:
		t.probeReason = fmt.Sprintf("only %d of the voting control instances answer, and no quorum confirms them", len(voting))
	}
}

// isMajority reports whether the answers come from a majority of the voters,
// according to the membership in each answer. Majorities of consecutive
// memberships overlap, so the last accepted membership is among those checked.
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

// quorumLost reports whether the voters that did not refuse the connection are
// less than a majority in every known membership, so that no change can be
// accepted.
func (t *Tracker) quorumLost(voting []Answer, refused []string) bool {
	if !belowMajority(t.voters, refused) {
		return false
	}
	for _, answer := range voting {
		if !belowMajority(answer.Voters, refused) {
			return false
		}
	}
	return true
}

// belowMajority reports whether the voters that are not among refused are less
// than a majority. It returns false if voters is empty.
func belowMajority(voters, refused []string) bool {
	if len(voters) == 0 {
		return false
	}
	remaining := 0
	for _, address := range voters {
		if !slices.Contains(refused, address) {
			remaining++
		}
	}
	return remaining <= len(voters)/2
}

// isComplete reports whether the answers of a majority of the voters show that
// the copy lacks no accepted change: an instance has applied the last entry that
// any of them holds, and the copy has reached that instance's state.
func (t *Tracker) isComplete(voting []Answer) bool {
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

// recordHalt records that no change can be accepted at the time of the round,
// unless the copy is behind an instance that still answers.
func (t *Tracker) recordHalt(round Round) {
	for _, standing := range round.Answers {
		if t.index < standing.ConfigIndex {
			t.probeReason = "the copy is behind a control instance"
			return
		}
	}
	if t.provenAt.IsZero() || round.Sent.Sub(t.completeAt()) > t.options.Lease {
		// Instances that have stopped since may have accepted a change in the
		// meantime.
		t.probeReason = "control has no quorum and the copy was not confirmed before it was lost"
		return
	}
	t.haltedAt = round.Sent
	t.haltReason = fmt.Sprintf("%d control instances do not run, and without them nothing can be accepted", len(round.Refused))
}

// completeAt returns the latest time for which the copy is known to lack no
// accepted change.
func (t *Tracker) completeAt() time.Time {
	if t.haltedAt.After(t.provenAt) {
		return t.haltedAt
	}
	return t.provenAt
}

// ProbeDue reports whether the proof is old enough to ask every control
// instance. Half of the lease is left for the answers. A lease longer than the
// default does not delay the question, so that the daemon learns of changes as
// soon as with the default lease.
func (t *Tracker) ProbeDue(now time.Time) bool {
	return now.Sub(t.provenAt) >= min(t.options.Lease, DefaultLease)/2
}

// State returns what the daemon knows about its copy at the given time.
func (t *Tracker) State(now time.Time) State {
	switch {
	case !t.provenAt.IsZero() && now.Sub(t.provenAt) <= t.options.Lease:
		return State{Kind: Fresh, AsOf: t.provenAt, Reason: "confirmed by control"}
	case !t.haltedAt.IsZero() && now.Sub(t.haltedAt) <= t.options.Lease:
		return State{Kind: Unchangeable, AsOf: t.provenAt, HaltedAt: t.haltedAt, Reason: t.haltReason}
	case t.probeReason != "":
		return State{Kind: CutOff, AsOf: t.provenAt, Reason: t.probeReason}
	default:
		return State{Kind: CutOff, AsOf: t.provenAt, Reason: t.reason}
	}
}
