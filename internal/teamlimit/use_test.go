package teamlimit

import (
	"encoding/json"
	"fmt"
	"testing"
)

// Guards against a list of teams that grows without end.
func TestUseByTeamIsBounded(t *testing.T) {
	u := &useByTeam{teams: make(map[string]teamUse)}
	for i := range 3 * maxTeamsShown {
		u.add(fmt.Sprint("team-", i), 10, i%2 == 0)
	}
	var shown map[string]teamUse
	if err := json.Unmarshal([]byte(u.String()), &shown); err != nil {
		t.Fatal(err)
	}
	total := 0.0
	for _, use := range shown {
		total += use.Admitted + use.Refused
	}
	if len(shown) != maxTeamsShown+1 || total != 30*maxTeamsShown {
		t.Errorf("%d teams are shown with a use of %g in all", len(shown), total)
	}
}
