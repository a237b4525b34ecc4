package gateway

import (
	"io"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/upstream"
)

// source is what a delivery passes to its caller. It is used by one goroutine at a time.
type source interface {
	// next returns the next piece, nil behind the last one. It then reports whether the answer is complete.
	next() (piece []byte, complete bool)
	// abort ends the answer before its end; close releases what it holds.
	abort()
	close()
}

// bodySource is an answer that was read whole. held is its part of the memory for incomplete answers; it is released once
// the caller has the answer, or the answer counts towards the backlogs of slow callers.
type bodySource struct {
	body []byte
	held *upstream.Holding
}

func (s *bodySource) next() (piece []byte, complete bool) {
	if s.body == nil {
		s.close()
		return nil, true
	}
	piece, s.body = s.body, nil
	return piece, false
}

func (s *bodySource) abort() { s.close() }

func (s *bodySource) close() { s.held.Release() }

// streamSource reads one stream from its servers, one after the other. It is used by one goroutine at a time.
type streamSource struct {
	x *exchange
	// r is the reply that is being read; nil once the stream has ended.
	r *reply
	// events and err are the result of its last read. passed is set once next has returned the events.
	events []byte
	err    error
	passed bool
}

// next returns the next events, nil behind the last ones. It then reports whether the stream is complete. The events
// returned before count as received by the caller: a stream that breaks is resumed behind them.
func (s *streamSource) next() (events []byte, complete bool) {
	x := s.x
	for s.r != nil {
		if s.passed {
			x.lastEvent = s.r.events.lastID(x.lastEvent)
		} else if next := s.check(); next != stepDone {
			s.leave(next)
			continue
		} else if len(s.events) > 0 {
			x.recordEvent(s.r, time.Now())
			x.proveEarly(s.r)
			s.passed = true
			return s.events, false
		}
		switch {
		case s.err == io.EOF:
			s.r.response.Release()
			x.recordAnswer(s.r)
			s.leave(stepDone)
			return nil, true
		case s.err != nil && x.givenUp.Load():
			s.abort()
		case s.err != nil:
			s.leave(x.streamFailed(s.r, s.err))
		default:
			s.read()
		}
	}
	return nil, false
}

// check judges the events that were read; stepDone means that they follow those that the caller has.
func (s *streamSource) check() step {
	switch {
	case !s.r.follows(s.events):
		s.x.lastReason = "the backend server that was to go on with the stream began it anew"
	case len(s.events) > 0 && !s.x.checkVersion(s.r):
		s.x.lastReason = "the backend server that was to go on with the stream has restarted"
	default:
		return stepDone
	}
	s.r.response.Abort()
	return s.x.recordFailure(s.r.server, s.r.verdict)
}

func (s *streamSource) read() {
	s.events, s.err = s.r.read()
	s.passed = false
}

// leave releases the server of the reply, and goes on at another one if the step says so.
func (s *streamSource) leave(next step) {
	s.close()
	if next != stepRetry {
		return
	}
	if s.r = s.x.resume(); s.r != nil {
		s.read()
	}
}

// abort ends the stream before its end.
func (s *streamSource) abort() {
	if s.r != nil {
		s.r.response.Abort()
	}
	s.close()
}

// close releases what the stream holds at its server.
func (s *streamSource) close() {
	if s.r != nil {
		s.r.release()
		s.r = nil
	}
}
