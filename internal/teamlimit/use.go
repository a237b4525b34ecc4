package teamlimit

import (
	"encoding/json"
	"expvar"
	"maps"
	"sync"
)

// maxTeamsShown bounds the teams whose use is shown; what the others use is added up under otherTeams.
const (
	maxTeamsShown = 1024
	otherTeams    = "(others)"
)

// teamUse is what one team used at this entry since its start, in the unit of its limit.
type teamUse struct {
	Admitted float64 `json:"admitted"`
	Refused  float64 `json:"refused"`
}

// useByTeam shows the use of teams.
type useByTeam struct {
	mu    sync.Mutex
	teams map[string]teamUse
}

// teamsUse is published for the whole process.
var teamsUse = publishUse("team_limit_use")

func publishUse(name string) *useByTeam {
	u := &useByTeam{teams: make(map[string]teamUse)}
	expvar.Publish(name, u)
	return u
}

func (u *useByTeam) add(team string, cost float64, admitted bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, shown := u.teams[team]; !shown && len(u.teams) >= maxTeamsShown {
		team = otherTeams
	}
	use := u.teams[team]
	if admitted {
		use.Admitted += cost
	} else {
		use.Refused += cost
	}
	u.teams[team] = use
}

// String implements expvar.Var.
func (u *useByTeam) String() string {
	u.mu.Lock()
	teams := maps.Clone(u.teams)
	u.mu.Unlock()
	text, err := json.Marshal(teams)
	if err != nil {
		return "{}"
	}
	return string(text)
}
