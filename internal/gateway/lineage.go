package gateway

import "go.uber.org/zap"

// noteVersion logs at which software version a stream goes on, at its first events from a server:
// within this answer, or over the caller's attempts.
func (x *exchange) noteVersion(r *reply) {
	if r.noted {
		return
	}
	r.noted = true
	first := x.eventAt.IsZero()
	if first {
		x.began = r.server.entry.Version
	}
	if first && x.call.ResumeAfter == "" && x.call.Resumes == "" {
		return
	}
	x.log.Info("stream goes on", zap.String("request", x.call.ID), zap.String("resumes", x.call.Resumes), zap.String("server", r.server.entry.ID),
		zap.String("version", r.server.entry.Version), zap.String("began", x.began), zap.String("after", x.call.ResumeAfter), zap.String("lastEvent", x.lastEvent))
}
