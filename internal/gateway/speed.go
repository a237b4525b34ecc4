package gateway

import (
	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// loadFaultCount counts the answers whose reported load cannot be read completely.
var loadFaultCount = telemetry.Counter("gateway_loads_unreadable")

// observeLoadFault records a reported load that cannot be read completely. It is logged once for each server and
// never excludes the server.
func (s *servers) observeLoadFault(v *server, verdict Verdict) {
	if verdict.LoadFault == nil {
		return
	}
	loadFaultCount.Add(1)
	s.mu.Lock()
	logged := v.loadFaultLogged
	v.loadFaultLogged = true
	s.mu.Unlock()
	if !logged {
		s.log.Warn("backend server reported a load that cannot be read completely", zap.String("server", v.entry().ID), telemetry.Cause(verdict.LoadFault))
	}
}
