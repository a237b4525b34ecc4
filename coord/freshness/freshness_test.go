package freshness_test

import (
	"strings"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/freshness"
)

var start = time.Unix(1_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// members are the addresses of the control instances.
var members = []string{"a", "b", "c", "d", "e"}

func confirmed(index uint64) freshness.Standing {
	return freshness.Standing{Confirmed: true, ConfirmedIndex: index, ConfigIndex: index, Applied: index, LastIndex: index, Voter: true, Voters: members[:3]}
}

// unconfirmed returns the answer of one of three voters without a quorum.
func unconfirmed(address string, index, last uint64) freshness.Answer {
	return freshness.Answer{Address: address, Standing: freshness.Standing{
		ConfigIndex: index, Applied: index, LastIndex: last, Voter: true, Voters: members[:3],
	}}
}

func newTracker(index uint64) *freshness.Tracker {
	t := freshness.NewTracker(freshness.Options{})
	t.Advance(index)
	return t
}

func expect(t *testing.T, tracker *freshness.Tracker, now time.Time, want freshness.Kind) {
	t.Helper()
	if got := tracker.State(now); got.Kind != want {
		t.Errorf("at %s: %+v, want %s", now.Sub(start), got, want)
	}
}

// A network partition isolates one control instance from the others. Daemons
// that reach only this instance still get its answers, while the others accept
// a contract change.
func TestIsolatedInstanceGivesNoProof(t *testing.T) {
	tracker := newTracker(7)
	tracker.Answer(confirmed(7), at(0))
	for ms := 100; ms <= 5_000; ms += 100 {
		tracker.Answer(unconfirmed("a", 7, 7).Standing, at(ms))
		tracker.Probe(freshness.Round{Sent: at(ms), Answers: []freshness.Answer{unconfirmed("a", 7, 7)}})
	}
	expect(t, tracker, at(3_000), freshness.Fresh)
	expect(t, tracker, at(3_001), freshness.CutOff)
	if got := tracker.State(at(5_000)).Reason; !strings.HasPrefix(got, "only 1 of the voting") {
		t.Errorf("reason is %q, want the number of voting instances that answered", got)
	}
}

// The control instances run without a leader. Two of the three logs together
// show that nothing else was accepted, so daemons keep serving callers.
func TestMajorityOfLogsIsProofWithoutLeader(t *testing.T) {
	tracker := newTracker(7)
	tracker.Probe(freshness.Round{Sent: at(0), Answers: []freshness.Answer{unconfirmed("a", 7, 7), unconfirmed("b", 5, 6)}})
	expect(t, tracker, at(3_000), freshness.Fresh)
	// Index 8 may have been accepted before the leader was lost.
	tracker.Probe(freshness.Round{Sent: at(2_000), Answers: []freshness.Answer{unconfirmed("a", 7, 8), unconfirmed("b", 7, 7)}})
	expect(t, tracker, at(4_000), freshness.CutOff)
}

// Two of three control processes are stopped. Their addresses refuse
// connections, so no change can be accepted, and the current contracts stay in
// force.
func TestStoppedMajorityIsUnchangeable(t *testing.T) {
	tracker := newTracker(7)
	tracker.Answer(confirmed(7), at(0))
	stopped := freshness.Round{Answers: []freshness.Answer{unconfirmed("a", 7, 7)}, Refused: []string{"b", "c"}}
	for ms := 1_000; ms <= 60_000; ms += 1_000 {
		stopped.Sent = at(ms)
		tracker.Probe(stopped)
	}
	expect(t, tracker, at(62_000), freshness.Unchangeable)
	expect(t, tracker, at(64_000), freshness.CutOff)
}

// The other instances did not answer for longer than the lease before they
// stopped. They may have accepted a change in that time.
func TestTimeoutsBeforeStopCutOff(t *testing.T) {
	tracker := newTracker(7)
	tracker.Answer(confirmed(7), at(0))
	tracker.Probe(freshness.Round{Sent: at(3_500), Answers: []freshness.Answer{unconfirmed("a", 7, 7)}, Refused: []string{"b", "c"}})
	expect(t, tracker, at(3_500), freshness.CutOff)
}

// Two of five instances are stopped, two answer without a leader, and one does
// not answer. The last three can elect a leader at any time. Seeds 175, 281 and
// 298 of the schedules reproduce this.
func TestRunningInstancesMayElectLeader(t *testing.T) {
	tracker := newTracker(7)
	standing := confirmed(7)
	standing.Voters = members
	tracker.Answer(standing, at(0))
	standing.Confirmed = false
	answers := []freshness.Answer{{Address: "a", Standing: standing}, {Address: "b", Standing: standing}}
	for ms := 500; ms <= 5_000; ms += 500 {
		tracker.Probe(freshness.Round{Sent: at(ms), Answers: answers, Refused: []string{"c", "d"}})
	}
	expect(t, tracker, at(3_001), freshness.CutOff)
}

// One instance lost its disk and restarted empty, and another one is
// partitioned. The two answers look like a majority of three, but only the
// partitioned instance still has the change that the empty one acknowledged.
func TestEmptyInstanceDoesNotCount(t *testing.T) {
	empty := freshness.Answer{Address: "c"}
	learner := unconfirmed("c", 7, 7)
	learner.Voter = false
	for _, returned := range []freshness.Answer{empty, learner} {
		tracker := newTracker(7)
		tracker.Probe(freshness.Round{Sent: at(0), Answers: []freshness.Answer{unconfirmed("a", 7, 7), returned}})
		expect(t, tracker, at(0), freshness.CutOff)
	}
}

// An instance was removed while it was partitioned and still considers itself a
// voter. Its answer and that of one current voter are not a majority.
func TestRemovedInstanceDoesNotCount(t *testing.T) {
	current, removed := unconfirmed("a", 7, 7), unconfirmed("c", 7, 7)
	current.Voters = []string{"a", "b"}
	tracker := newTracker(7)
	tracker.Probe(freshness.Round{Sent: at(0), Answers: []freshness.Answer{current, removed}})
	expect(t, tracker, at(0), freshness.CutOff)
}

func TestProofNeedsCompleteCopy(t *testing.T) {
	tracker := newTracker(6)
	tracker.Answer(confirmed(7), at(0))
	expect(t, tracker, at(0), freshness.CutOff)
	tracker.Advance(7)
	tracker.Answer(confirmed(7), at(10))
	expect(t, tracker, at(10), freshness.Fresh)
	// The log has more voters than the settings list: two answers of five are no
	// proof.
	grown := newTracker(7)
	first, second := unconfirmed("a", 7, 7), unconfirmed("b", 7, 7)
	first.Voters, second.Voters = members, members
	grown.Probe(freshness.Round{Sent: at(0), Answers: []freshness.Answer{first, second}})
	expect(t, grown, at(0), freshness.CutOff)
}
