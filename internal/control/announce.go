package control

import (
	"net/http"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// AnnouncePath is the path on the operators' address at which backend servers
// without an agent announce themselves. They use announce keys, not operator keys.
const AnnouncePath = "/announce/v1/servers"

var announceUnauthorizedCount = telemetry.Counter("control_announce_unauthorized")

// announceOverHTTP accepts an announcement from a plain service. Announcements of
// engines and agents are rejected: they must arrive on the listener between
// processes, which requires a client certificate. A leaked announce key therefore
// cannot be used to attract model requests.
func (c *Control) announceOverHTTP(w http.ResponseWriter, r *http.Request) {
	if !matchesKey(c.options.AnnounceKeyHashes, bearer(r)) {
		announceUnauthorizedCount.Add(1)
		writeError(w, http.StatusUnauthorized, "unknown announce key")
		return
	}
	var announcement membership.Announcement
	if !c.readBody(w, r, &announcement) {
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
