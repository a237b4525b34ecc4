package replog

type progressState uint8

const (
	// stateProbe sends one append at a time until the logs' match is found.
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
	// paused is true while a probe is unanswered.
	paused bool
	// inflight holds the last index of each unacknowledged append.
	inflight []uint64
	// snapshotIndex and snapshotTick are those of the snapshot under way.
	snapshotIndex uint64
	snapshotTick  uint64
	// contactTick is when the leader sent the latest heartbeat that the member
	// answered, or when it began to send while contacted is false. The time of
	// an answer's arrival would not do: one that was under way for long tells
	// nothing about whether its sender still lives.
	contactTick uint64
	contacted   bool
	// confirmedRead is the highest read round that the member acknowledged.
	confirmedRead uint64
}

func (p *progress) probe() {
	p.state = stateProbe
	p.next = p.match + 1
	p.paused = false
	p.inflight = nil
}

func (p *progress) replicate() {
	p.probe()
	p.state = stateReplicate
}

func (p *progress) waitForSnapshot(index, tick uint64) {
	p.state = stateSnapshot
	p.snapshotIndex, p.snapshotTick = index, tick
	p.next = index + 1
	p.inflight = nil
}

// acknowledge takes a synced index into account and reports whether it is news.
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

func (p *progress) sent(last uint64, entries int) {
	if p.state == stateProbe {
		p.paused = true
		return
	}
	if entries > 0 {
		p.inflight = append(p.inflight, last)
		p.next = last + 1
	}
}
