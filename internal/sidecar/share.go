package sidecar

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/residency"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

var (
	// gaveWayRankCount counts the waiting requests that a full queue refused in favour of
	// one of a more urgent rank. gaveWayShareCount counts those refused in favour of one
	// of a team less far above its share.
	gaveWayRankCount  = telemetry.Counter("sidecar_gave_way_rank")
	gaveWayShareCount = telemetry.Counter("sidecar_gave_way_over_share")
)

// recordRefusal counts and logs a refused start. If it gave way to another request, the log
// line has its own team, share (in percent) and rank.
func (l *loop) recordRefusal(a residency.Refuse) {
	if a.To == nil {
		l.log.Info("start refused", zap.String("request", a.ID), zap.String("reason", string(a.Reason)))
		return
	}
	if a.To.ByRank {
		gaveWayRankCount.Add(1)
	} else {
		gaveWayShareCount.Add(1)
	}
	l.log.Info("start refused", zap.String("request", a.ID), zap.String("reason", string(a.Reason)), zap.String("team", a.To.Team), zap.Int("share", a.To.Share),
		zap.Int("rank", a.To.Rank), zap.Bool("byRank", a.To.ByRank))
}

// behindUntil returns the time until which a request goes behind all others of its rank; zero
// if it does not.
func behindUntil(millis int64, now time.Time) time.Time {
	if millis <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(millis) * time.Millisecond)
}

// delaysWithinShare returns the delays by rank, in milliseconds, of teams within their shares;
// nil if they are the same as for all teams.
func (l *loop) delaysWithinShare(now time.Time) []int64 {
	if !l.table.OverShareWaits() {
		return nil
	}
	return delays(l.table.DelayWithinShare(now))
}
