package suspicion

import "time"

// Ending judges whether the server at one address ended when connections to it broke. It is told
// what connections that are opened to the address for this purpose, without a request, meet.
//
// A connection that is accepted shows only that something holds the address: the kernel of a process
// that is ending, or another process in front of it. One that stays open shows a process that lives.
type Ending struct {
	// window is the time in which the end of a server must show.
	window  time.Duration
	refused bool
	// openedAt is when the connection that is open was opened; zero while there is none.
	openedAt time.Time
	// aliveAt is when the first connection was opened that stayed open; zero before.
	aliveAt time.Time
	// closedFrom is when the first of the connections that were closed at once was closed, and
	// closed is their number since the last one that stayed open.
	closedFrom time.Time
	closed     int
	// nextProbe is when the next connection may be opened, pause the pause before the one after it.
	nextProbe time.Time
	pause     time.Duration
}

const (
	// openTime is the time for which a connection stays open at a process that lives.
	openTime = 250 * time.Millisecond
	// firstProbePause and lastProbePause bound the pauses after connections that were closed; there is
	// none after the first, and they double.
	firstProbePause = 20 * time.Millisecond
	lastProbePause  = 500 * time.Millisecond
	// minClosed is the number of connections in a row that are closed at once where nothing serves.
	minClosed = 3
)

// NewEnding returns the judge of one server, whose end must show within window.
func NewEnding(window time.Duration) *Ending { return &Ending{window: window} }

// ProbeDue reports whether a connection should be opened now.
func (e *Ending) ProbeDue(now time.Time) bool {
	return !e.refused && e.openedAt.IsZero() && !now.Before(e.nextProbe)
}

// Refused records that a connection was refused.
func (e *Ending) Refused() { e.refused = true }

// Unanswered records that a connection got no answer, which says nothing.
func (e *Ending) Unanswered(now time.Time) { e.nextProbe = now.Add(lastProbePause) }

// Opened records that a connection was accepted.
func (e *Ending) Opened(now time.Time) { e.openedAt = now }

// StillOpen records that the connection that was accepted is open.
func (e *Ending) StillOpen(now time.Time) {
	if now.Sub(e.openedAt) < openTime {
		return
	}
	e.closed, e.closedFrom = 0, time.Time{}
	if e.aliveAt.IsZero() {
		e.aliveAt = e.openedAt
	}
}

// Closed records that the connection that was accepted has been closed by the other side. A server
// may close an idle connection some time later; that is no sign.
func (e *Ending) Closed(now time.Time) {
	if now.Sub(e.openedAt) < openTime {
		if e.closed == 0 {
			e.closedFrom = now
		}
		e.closed++
	}
	e.openedAt = time.Time{}
	e.nextProbe = now.Add(e.pause)
	e.pause = min(max(2*e.pause, firstProbePause), lastProbePause)
}

// Evidence returns how the server is known to have ended; it is empty while it is not. connected
// reports whether a call or an idle connection to the server is open.
func (e *Ending) Evidence(connected func() bool, now time.Time) Evidence {
	switch {
	case e.refused:
		return Refuses
	case e.closed >= minClosed && now.Sub(e.closedFrom) >= e.window && !connected():
		return Closes
	}
	return ""
}

// LivesOn reports whether the server was there after a connection broke at the given time. A later
// server in its place would have announced itself.
func (e *Ending) LivesOn(brokeAt, now time.Time) bool {
	if e.aliveAt.IsZero() || e.refused {
		return false
	}
	since := e.aliveAt
	if brokeAt.After(since) {
		since = brokeAt
	}
	return now.Sub(since) > e.window
}
