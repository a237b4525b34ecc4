package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/coord/route"
	"github.com/rosemarypass/rosemarypass/coord/streamversion"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

// lineage is what binds a stream to a software version of its servers.
type lineage struct {
	// goesOn is set where the caller, or an earlier answer of this exchange, has events already; stream
	// is the stream by which other entries know it, 0 for none.
	goesOn bool
	stream streamversion.Stream
	// bound is set where the stream may go on only at servers of version, of which an announcement is known
	// to have been sent after since.
	bound   bool
	version string
	since   time.Time
	// began is the version of the server that gave the first event of this answer; empty before it, and
	// where it is not certain.
	began string
	// origin is the server that gave the stream's first event.
	origin streamversion.Origin
	// unconfirmed is set while servers of the version are known, but none that was heard after since.
	unconfirmed bool
}

var versionRefusedCount = telemetry.Counter("gateway_refused_version")

const (
	// maxLineageWait limits the wait for processes that are starting and may know the stream's version,
	// lineageRecheck is the interval at which they are asked again.
	maxLineageWait = 2 * time.Second
	lineageRecheck = 250 * time.Millisecond
)

// findLineage finds out at which version a stream that the caller takes up began. It reports false
// where the stream must not go on.
func (x *exchange) findLineage() bool {
	if x.route.Kind != route.KindStream {
		return true
	}
	x.lineage.goesOn = x.call.TakesUp
	if !x.lineage.goesOn {
		x.lineage.stream = streamversion.Of(x.call.ID)
		return true
	}
	x.lineage.stream = streamversion.Of(x.call.Resumes)
	started := time.Now()
	known, decided := x.askLineage()
	for decided.MayChange() && time.Since(started)+lineageRecheck < min(maxLineageWait, time.Until(x.startDeadline())) && wait.For(x.ctx, lineageRecheck) == nil {
		known, decided = x.askLineage()
	}
	x.log.Info("stream taken up", zap.String("request", x.call.ID), zap.String("resumes", x.call.Resumes), zap.String("after", x.call.ResumeAfter), zap.String("service", x.service.Name),
		zap.Bool("found", known.Found), zap.String("began", known.Record.Version), zap.Strings("versions", known.Versions), zap.Bool("complete", known.Complete), zap.String("only", known.Only),
		zap.Duration("took", time.Since(started)), zap.String("refused", decided.Reason))
	x.lineage.origin = known.Record.Origin
	return x.bind(decided)
}

// askLineage asks once at which version the stream began. Where the route leads to the service at which it
// began, that service goes on with it.
func (x *exchange) askLineage() (streamversion.Question, streamversion.Decision) {
	known := x.mesh.StreamVersion(x.ctx, x.call.Resumes, x.service.Name)
	if began := known.Record.Service; known.Found && began != x.service.Name && x.leadsTo(began) {
		x.service, known.Service = x.table.Service(began), began
	}
	return known, streamversion.Decide(known)
}

// leadsTo reports whether the route leads to a service.
func (x *exchange) leadsTo(service string) bool {
	for _, share := range x.route.Split {
		if share.Service == service && share.Weight > 0 {
			return x.table.Service(service) != nil
		}
	}
	return false
}

// bind applies a decision to the choice of the next server. It reports false where the stream must not
// go on.
func (x *exchange) bind(d streamversion.Decision) bool {
	x.lineage.since = time.Now()
	switch d.Verdict {
	case streamversion.AnyServer:
		return true
	case streamversion.OneVersion:
		x.lineage.bound, x.lineage.version = true, d.Version
		return true
	default:
		versionRefusedCount.Add(1)
		x.lastReason, x.cause = d.Reason, causeVersion
		return false
	}
}

// rebind binds an answer that goes on at another server to the version at which it began.
func (x *exchange) rebind() bool {
	first := !x.lineage.goesOn
	x.lineage.goesOn = true
	if !first && x.lineage.bound {
		x.lineage.since = time.Now()
		return true
	}
	known := x.mesh.KnownVersions(x.service.Name)
	known.Found, known.Record = true, streamversion.Record{Service: x.service.Name, Version: x.lineage.began}
	return x.bind(streamversion.Decide(known))
}

// sameIncarnation reports whether a server has not announced itself as another incarnation, or at
// another version, since it was chosen.
func (x *exchange) sameIncarnation(v *server) bool {
	if v.agent.isKnown() && !v.agent.runs(v.entry().Born) {
		return false
	}
	e, ok := x.mesh.Announced(v.entry().ID)
	return !ok || e.Born == v.entry().Born && e.Version == v.entry().Version
}

// checkVersion judges the next events of a reply, before the caller gets them. It reports false where
// they may come from another version than the events before them.
func (x *exchange) checkVersion(r *reply) bool {
	change := x.mesh.RosterChange()
	if !r.checked {
		r.checked, r.rosterChange = true, change
		return x.checkFirstEvents(r)
	}
	if r.rosterChange == change {
		return true
	}
	r.rosterChange = change
	if x.lineage.began != "" && !x.sameIncarnation(r.server) {
		// The incarnation that was chosen is gone, and something goes on to answer at its address.
		x.recordBegin(r, false)
	}
	return true
}

// checkFirstEvents judges the first events of a reply.
func (x *exchange) checkFirstEvents(r *reply) bool {
	same := x.sameIncarnation(r.server)
	if x.lineage.goesOn && x.lineage.bound && !same {
		return false
	}
	if x.lineage.goesOn {
		x.noteContinuation(r)
	}
	if x.eventAt.IsZero() {
		x.recordBegin(r, same)
	}
	return true
}

// recordBegin records the version of the server that gave the first event, for the caller's next try at
// any entry.
func (x *exchange) recordBegin(r *reply, certain bool) {
	x.lineage.began = r.server.entry().Version
	x.lineage.origin = streamversion.Origin{Server: r.server.entry().ID, Born: r.server.entry().Born, AtMillis: time.Now().UnixMilli()}
	if !certain {
		x.lineage.began = ""
	}
	if x.lineage.stream == 0 || !x.route.Idempotent() {
		return
	}
	left := streamversion.Retention
	if x.call.MaxWait > 0 {
		left = min(left, x.call.MaxWait-time.Since(x.arrived))
	}
	ctx, cancel := context.WithTimeout(x.ctx, time.Until(x.deadline))
	defer cancel()
	x.mesh.RecordStream(ctx, streamversion.Record{Stream: x.lineage.stream, Service: x.service.Name, Version: x.lineage.began, LeftMillis: left.Milliseconds(), Origin: x.lineage.origin})
}

// noteContinuation logs at which version a stream goes on.
func (x *exchange) noteContinuation(r *reply) {
	x.log.Info("stream goes on", zap.String("request", x.call.ID), zap.String("resumes", x.call.Resumes), zap.String("server", r.server.entry().ID),
		zap.String("version", r.server.entry().Version), zap.Bool("bound", x.lineage.bound), zap.String("began", x.lineage.version), zap.String("after", x.call.ResumeAfter), zap.String("lastEvent", x.lastEvent))
}

// mayServeStream reports whether a server may serve the stream as far as its software version decides,
// and whether the server may only do so once it was heard.
func (s *servers) mayServeStream(v *server, l *lineage) (may, unconfirmed bool) {
	switch {
	case !l.bound:
		return true, false
	case v.entry().Version != l.version:
		return false, false
	case v.agent.isKnown():
		return v.agent.runs(v.entry().Born), false
	}
	// A server that restarted under its ID may have another version, which it tells with its next
	// announcement. One that arrives after the stream broke may have been sent before; one that follows it was
	// not.
	e, ok := s.mesh.Announced(v.entry().ID)
	heard := ok && e.HeardBefore.After(l.since)
	return heard, !heard
}

// awaitConfirmed waits while servers of the stream's version are known, but none was heard since the
// stream is to go on, and returns the one that is chosen then.
func (x *exchange) awaitConfirmed() (*server, pick) {
	for time.Until(x.startDeadline()) > minRemaining {
		v, picked := x.choose()
		if v != nil || !x.lineage.unconfirmed || wait.For(x.ctx, recheckInterval) != nil {
			return v, picked
		}
	}
	return nil, pick{}
}

// originRestarted reports whether the server that gave the stream's first event had restarted as another version by
// then, and has announced it only since. The stream must not go on at the version that was announced before.
func (x *exchange) originRestarted() bool {
	if !x.lineage.bound {
		return false
	}
	e, ok := x.mesh.Announced(x.lineage.origin.Server)
	if !ok || e.Version == x.lineage.version || !x.lineage.origin.Restarted(e.Born) {
		return false
	}
	versionRefusedCount.Add(1)
	x.lastReason, x.cause = streamversion.ReasonUncertain, causeVersion
	return true
}

// reasonFull is the reason for refusing a request for which the entry may send no more to any server.
const reasonFull = "each backend server has as many requests of this entry as it may"

// noServerReason returns why there is no server, and after which time one may be back.
func (x *exchange) noServerReason() (string, time.Duration) {
	if !x.picked.noTurnUntil.IsZero() {
		return x.noTurnReason()
	}
	if x.picked.full {
		x.cause = causeNoRoom
		return reasonFull, minRetryAfter
	}
	if x.lineage.bound {
		x.cause = causeVersion
		versionRefusedCount.Add(1)
		return "no backend server of the version at which the stream began is there", x.serversRetryAfter()
	}
	x.cause = causeNoServer
	return "no backend server of the service is there", x.serversRetryAfter()
}
