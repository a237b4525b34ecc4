package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/backlog"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

const (
	// defaultSlowAfter is the duration of a write from which its caller counts as slow. Callers that read take a piece
	// within a round trip, which is shorter than this between all data centres.
	defaultSlowAfter = 100 * time.Millisecond
	// defaultStallTimeout is how long a caller may read nothing while something is held for it.
	defaultStallTimeout = 10 * time.Second

	// Bounds of what is held for slow callers: of one stream, of one team (or of one address without a team), and of
	// the entry where the settings name no memory limit.
	streamBacklogBytes  = 256 << 10
	teamBacklogBytes    = 8 << 20
	defaultBacklogBytes = 16 << 20
)

// Reasons for which the streams of slow callers are cut.
const (
	cutOverBound = "over a bound of what is held"
	cutStalled   = "read nothing for too long"
	cutDeadline  = "the time was up"
)

// backlogs bounds what is held for the streams of slow callers. The held events themselves are in each stream's
// delivery.
type backlogs struct {
	slowAfter    time.Duration
	stallTimeout time.Duration
	log          *zap.Logger

	mu      sync.Mutex
	table   *backlog.Table
	streams map[backlog.ID]*slowStream
	lastID  backlog.ID
}

type slowStream struct {
	delivery *delivery
	// acknowledged is the number of bytes that the caller's system had acknowledged at the last sweep.
	acknowledged uint64
}

var (
	slowCallersCount  = telemetry.Counter("gateway_slow_callers")
	backlogCutCount   = telemetry.Counter("gateway_backlog_cut")
	backlogBytesGauge = telemetry.Counter("gateway_backlog_bytes")
)

// newBacklogs returns backlogs that hold at most total bytes together; 0 for the default.
func newBacklogs(total int64, log *zap.Logger) *backlogs {
	if total <= 0 {
		total = defaultBacklogBytes
	}
	return &backlogs{
		slowAfter: defaultSlowAfter, stallTimeout: defaultStallTimeout, log: log, streams: make(map[backlog.ID]*slowStream),
		table: backlog.New(backlog.Limits{Stream: streamBacklogBytes, Team: teamBacklogBytes, Total: total}),
	}
}

// begin adds a stream whose caller has not taken a piece of the given size, in bytes, in time. It returns the streams
// to be cut.
func (b *backlogs) begin(d *delivery, piece int) []backlog.Held {
	slowCallersCount.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	d.id = b.lastID
	b.streams[d.id] = &slowStream{delivery: d, acknowledged: answer.Acknowledged(d.x.ctx)}
	cuts := b.table.Begin(d.id, ownerOf(d.x), int64(piece), time.Now())
	b.publish()
	return cuts
}

// ownerOf returns whose bound a stream counts towards: the caller's team, or its address where it has none.
func ownerOf(x *exchange) string {
	if x.team != nil {
		return "team " + x.team.Name
	}
	return "address " + x.call.Caller
}

// add counts bytes that were added to the backlog of a stream, and returns the streams to be cut.
func (b *backlogs) add(d *delivery, bytes int) []backlog.Held {
	b.mu.Lock()
	defer b.mu.Unlock()
	cuts := b.table.Add(d.id, int64(bytes), time.Now())
	b.publish()
	return cuts
}

// taken counts bytes that the caller of a stream has taken.
func (b *backlogs) taken(d *delivery, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Taken(d.id, int64(bytes), time.Now())
	b.publish()
}

// end removes a stream.
func (b *backlogs) end(d *delivery) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.End(d.id, time.Now())
	delete(b.streams, d.id)
	b.publish()
}

// expire cuts a stream whose request's time is up, if something is still held for its caller. Where nothing is, the time
// ends the reading from the server.
func (b *backlogs) expire(d *delivery) {
	b.mu.Lock()
	held, found := b.table.End(d.id, time.Now())
	b.publish()
	b.mu.Unlock()
	if found && held.Bytes > 0 {
		b.cut([]backlog.Held{held}, cutDeadline)
	}
}

// sweep cuts the streams whose callers have read nothing for too long.
func (b *backlogs) sweep(now time.Time) {
	b.mu.Lock()
	for id, s := range b.streams {
		if acknowledged := answer.Acknowledged(s.delivery.x.ctx); acknowledged != s.acknowledged {
			s.acknowledged = acknowledged
			b.table.Moved(id, now)
		}
	}
	stalled := b.table.Stalled(now, b.stallTimeout)
	b.publish()
	b.mu.Unlock()
	b.cut(stalled, cutStalled)
}

// cut cuts streams that were removed from the table. No delivery.mu may be held.
func (b *backlogs) cut(streams []backlog.Held, reason string) {
	for _, held := range streams {
		b.mu.Lock()
		s := b.streams[held.ID]
		b.mu.Unlock()
		if s == nil || !s.delivery.cutFor(reason) {
			continue
		}
		backlogCutCount.Add(1)
		x := s.delivery.x
		b.log.Info("slow caller cut", zap.String("request", x.call.ID), zap.String("route", x.route.Name), zap.String("team", x.teamName()), zap.String("caller", x.call.Caller),
			zap.Int64("bytes", held.Bytes), zap.Duration("age", held.Age), zap.String("reason", reason))
	}
}

// publish updates the gauge; mu must be held.
func (b *backlogs) publish() { backlogBytesGauge.Set(b.table.Total()) }
