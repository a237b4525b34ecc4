package replog

type progressState uint8

const (
	// stateProbe sends one append at a time until the last matching entry of both
	// logs is found.
	stateProbe progressState = iota
	// stateReplicate streams appends, up to MaxInflight.
	stateReplicate
	// stateSnapshot waits until a snapshot is acknowledged.
	stateSnapshot
)

// progress is a leader's view of one member.
type progress struct {
	state progressState
	// match is the highest index known to be synced at the member; next is the
	// first one to send.
	match uint64
	next  uint64
	// paused is set while a probe is unanswered.
	paused bool
	// inflight holds the last index of each unacknowledged append.
	inflight []uint64
	// snapshotIndex is the index of the snapshot being sent; snapshotTick is the
	// tick at which it was sent.
	snapshotIndex uint64
	snapshotTick  uint64
	// contactTick is the tick at which the leader sent the latest heartbeat that
	// the member answered, or, while contacted is false, at which it started to
	// track the member. The arrival time of a reply is not used because a delayed
	// reply does not show that its sender is still alive.
	contactTick uint64
	contacted   bool
	// confirmedRead is the highest read round acknowledged by the member.
	confirmedRead uint64
}

func (p *progress) becomeProbe() {
	p.state = stateProbe
	p.next = p.match + 1
	p.paused = false
	p.inflight = nil
}

func (p *progress) becomeReplicate() {
	p.becomeProbe()
	p.state = stateReplicate
}

func (p *progress) becomeSnapshot(index, tick uint64) {
	p.state = stateSnapshot
	p.snapshotIndex, p.snapshotTick = index, tick
	p.next = index + 1
	p.inflight = nil
}

// acknowledge records an index synced by the member and reports whether match
// advanced.
func (p *progress) acknowledge(index uint64) bool {
	p.next = max(p.next, index+1)
	p.paused = false
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if index <= p.match {
		return false
	}
	p.match = index
	return true
}

func (p *progress) blocked(maxInflight int) bool {
	switch p.state {
	case stateProbe:
		return p.paused
	case stateReplicate:
		return len(p.inflight) >= maxInflight
	default:
		return true
	}
}

func (p *progress) recordSent(last uint64, entries int) {
	if p.state == stateProbe {
		p.paused = true
		return
	}
	if entries > 0 {
		p.inflight = append(p.inflight, last)
		p.next = last + 1
	}
}
