package gateway

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/backlog"
	"github.com/rosemarypass/rosemarypass/internal/answer"
)

// delivery passes an answer from its source to its caller. While the caller takes each piece in time, the goroutine of
// the request reads and writes. Once a write takes longer than backlogs.slowAfter, a second goroutine goes on reading into a
// backlog, and the goroutine of the request writes from it; this lasts until the stream ends.
type delivery struct {
	x      *exchange
	source source
	pass   answer.Pass
	timer  *time.Timer
	// changed wakes the writer; id, deadline and stopWatch are set together with slow.
	changed   chan struct{}
	id        backlog.ID
	deadline  *time.Timer
	stopWatch func() bool

	// mu protects the fields below. It may be held while backlogs.mu is taken.
	mu sync.Mutex
	// writingSince is when the write in progress began and writing its size; zero while there is none.
	writingSince time.Time
	writing      int
	// slow is set once the source belongs to the second goroutine, ended once that has returned.
	slow     bool
	ended    bool
	complete bool
	panicked any
	queue    [][]byte
	// cut is why the stream is to be cut; empty while it is not.
	cut string
	// finished is set once the writer has ended: the connection may serve the next request.
	finished bool
}

// maxJoined is the size, in bytes, up to which queued events are joined, so that small ones need little memory beside
// their own bytes.
const maxJoined = 4 << 10

// deliver passes the answer to the caller and returns how it ended.
func (x *exchange) deliver(source source, pass answer.Pass) answer.End {
	d := &delivery{x: x, source: source, pass: pass}
	defer d.end()
	for {
		events, complete := source.next()
		if complete {
			return answer.Complete(nil)
		}
		if events == nil {
			return x.abortStream()
		}
		slow, err := d.write(events)
		if slow {
			return d.deliverBacklog(len(events), err)
		}
		if err != nil {
			source.abort()
			return x.abortStream()
		}
	}
}

// end releases what the stream holds, also after a panic.
func (d *delivery) end() {
	d.mu.Lock()
	slow := d.slow
	d.mu.Unlock()
	if !slow {
		d.source.close()
	}
	// Ends the second goroutine if it still runs.
	d.x.cancel()
}

// write passes events to the caller and reports whether reading was taken over meanwhile.
func (d *delivery) write(events []byte) (slow bool, err error) {
	d.mu.Lock()
	d.writingSince, d.writing = time.Now(), len(events)
	d.mu.Unlock()
	if d.timer == nil {
		d.timer = time.AfterFunc(d.x.backlogs.slowAfter, d.takeOver)
	} else {
		d.timer.Reset(d.x.backlogs.slowAfter)
	}
	err = d.pass(events)
	d.timer.Stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writingSince = time.Time{}
	return d.slow, err
}

// takeOver goes on reading the stream if the write in progress takes too long. It runs in a goroutine of its own.
func (d *delivery) takeOver() {
	d.mu.Lock()
	if d.slow || d.writingSince.IsZero() || time.Since(d.writingSince) < d.x.backlogs.slowAfter {
		d.mu.Unlock()
		return
	}
	d.slow = true
	d.changed = make(chan struct{}, 1)
	d.stopWatch = context.AfterFunc(d.x.ctx, d.interrupt)
	d.deadline = time.AfterFunc(time.Until(d.x.deadline), func() { d.x.backlogs.expire(d) })
	cuts := d.x.backlogs.begin(d, d.writing)
	d.mu.Unlock()
	d.x.log.Info("caller reads slowly", zap.String("request", d.x.call.ID), zap.String("route", d.x.route.Name), zap.String("team", d.x.teamName()),
		zap.String("caller", d.x.call.Caller), zap.String("lastEvent", d.x.lastEvent))
	d.x.backlogs.cut(cuts, cutOverBound)
	d.read()
}

// read reads the source into the backlog until it ends or the stream is cut.
func (d *delivery) read() {
	defer func() {
		reason := recover()
		d.mu.Lock()
		d.ended = true
		if reason != nil {
			// A panic would end the process here; the writer passes it on to the handler of the request.
			d.panicked = fmt.Sprintf("%v\n%s", reason, debug.Stack())
		}
		d.mu.Unlock()
		d.wake()
	}()
	for {
		events, complete := d.source.next()
		if events == nil {
			d.mu.Lock()
			d.complete = complete
			d.mu.Unlock()
			return
		}
		if !d.enqueue(events) {
			return
		}
	}
}

// enqueue adds events to the backlog. It returns false once the request has been cancelled.
func (d *delivery) enqueue(events []byte) bool {
	d.mu.Lock()
	if d.x.ctx.Err() != nil {
		d.mu.Unlock()
		return false
	}
	if last := len(d.queue) - 1; last >= 0 && len(d.queue[last])+len(events) <= maxJoined {
		d.queue[last] = append(d.queue[last], events...)
	} else {
		d.queue = append(d.queue, events)
	}
	cuts := d.x.backlogs.add(d, len(events))
	d.mu.Unlock()
	d.wake()
	d.x.backlogs.cut(cuts, cutOverBound)
	return true
}

func (d *delivery) wake() {
	select {
	case d.changed <- struct{}{}:
	default:
		// The writer has not seen the last change yet and will see this one with it.
	}
}

// deliverBacklog writes the backlog behind the first piece, whose write has ended with an error or nil.
func (d *delivery) deliverBacklog(first int, err error) answer.End {
	if err == nil {
		d.x.backlogs.taken(d, first)
	}
	for err == nil {
		events := d.dequeue()
		if events == nil {
			break
		}
		if err = d.pass(events); err == nil {
			d.x.backlogs.taken(d, len(events))
		}
	}
	return d.finish(err)
}

// dequeue waits for the next events and returns them; nil after the last ones or once the request has been cancelled.
func (d *delivery) dequeue() []byte {
	for {
		d.mu.Lock()
		ended := d.ended
		var events []byte
		if len(d.queue) > 0 {
			events = d.queue[0]
			d.queue[0] = nil
			d.queue = d.queue[1:]
		}
		d.mu.Unlock()
		if d.x.ctx.Err() != nil || events == nil && ended {
			return nil
		}
		if events != nil {
			return events
		}
		<-d.changed
	}
}

// finish ends both goroutines' work and returns how the stream ended.
func (d *delivery) finish(err error) answer.End {
	x := d.x
	if err != nil {
		d.giveUp()
	}
	d.awaitReader()
	d.stopWatch()
	d.deadline.Stop()
	x.backlogs.end(d)
	if d.panicked != nil {
		d.source.close()
		panic(d.panicked)
	}
	d.source.abort()
	switch {
	case d.cut != "":
		if !d.complete {
			failedCount.Add(1)
		}
		return answer.Cut
	case d.complete && (err != nil || x.ctx.Err() != nil):
		x.log.Info("caller left before it had the whole answer", zap.String("request", x.call.ID), zap.String("lastEvent", x.lastEvent))
		callersGoneCount.Add(1)
		return answer.Cut
	case err != nil || !d.complete:
		return x.abortStream()
	}
	// The end of the body is still to be written.
	answer.BoundWrite(x.ctx, x.deadline)
	return answer.Complete(nil)
}

// awaitReader waits until the second goroutine has stopped reading. After that, nothing may end writes to the connection,
// which may serve another request.
func (d *delivery) awaitReader() {
	for {
		d.mu.Lock()
		if d.ended {
			d.finished, d.queue = true, nil
			d.mu.Unlock()
			return
		}
		d.mu.Unlock()
		<-d.changed
	}
}

// cutFor cuts the stream for the given reason, unless it has ended.
func (d *delivery) cutFor(reason string) bool {
	d.mu.Lock()
	cut := !d.finished && d.cut == ""
	if cut {
		d.cut = reason
	}
	d.mu.Unlock()
	if cut {
		d.giveUp()
	}
	return cut
}

// giveUp cancels the request, which ends the stream at its server and makes interrupt end the write to the caller.
func (d *delivery) giveUp() {
	d.x.givenUp.Store(true)
	d.x.cancel()
}

// interrupt ends the write in progress, and all later ones, to a caller that is not to get more or has left.
func (d *delivery) interrupt() {
	d.mu.Lock()
	if !d.finished {
		d.queue = nil
		answer.BoundWrite(d.x.ctx, pastDeadline)
	}
	d.mu.Unlock()
	d.wake()
}

// pastDeadline is a write deadline in the past, which ends writes at once.
var pastDeadline = time.Unix(1, 0)
