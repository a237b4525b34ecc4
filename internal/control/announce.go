package control

import (
	"net/http"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// AnnouncePath is where backend servers without an agent announce themselves,
// on the operators' address, with a key of their own.
const AnnouncePath = "/announce/v1/servers"

var announceUnauthorizedCount = telemetry.Counter("control_announce_unauthorized")

// announceOverHTTP takes an announcement from a plain service. It takes none of
// an engine or agent: those come over the listener between processes, which
// asks for a certificate, so that a service's key cannot draw model requests.
func (c *Control) announceOverHTTP(w http.ResponseWriter, r *http.Request) {
	if !knowsKey(c.options.AnnounceKeyHashes, bearer(r)) {
		announceUnauthorizedCount.Add(1)
		writeError(w, http.StatusUnauthorized, "unknown announce key")
		return
	}
	var announcement membership.Announcement
	if !readBody(w, r, &announcement) {
		return
	}
	if announcement.Kind != membership.KindService || announcement.Agent {
		writeError(w, http.StatusForbidden, "only plain services announce themselves over HTTP")
		return
	}
	reply, err := c.announce(r.Context(), wire.Announce{Announcement: announcement})
	if err != nil {
		writeError(w, http.StatusUnprocessableEntity, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, reply)
}
