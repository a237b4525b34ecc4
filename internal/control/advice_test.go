package control

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/placement"
)

func TestAdviceListsStoppableServers(t *testing.T) {
	announced := make([]membership.Announcement, 0, 4)
	for _, name := range []string{"a", "b", "c", "d"} {
		announced = append(announced, membership.Announcement{
			Server: name, Kind: membership.KindEngine, BaseModel: "base", Slots: 8,
			Load: membership.Load{Capacity: 16, Obtainable: 8},
		})
	}
	monitor := newAdviceMonitor(func() []membership.Announcement { return announced })
	recorder := httptest.NewRecorder()
	monitor.get(recorder, nil)
	var advice []placement.Advice
	if err := json.Unmarshal(recorder.Body.Bytes(), &advice); err != nil {
		t.Fatal(err)
	}
	if len(advice) != 1 || advice[0].Servers != 4 || advice[0].Needed != 1 || len(advice[0].Stoppable) != 2 {
		t.Errorf("got advice %+v, want one pool of 4 servers with 1 needed and 2 stoppable", advice)
	}
}
