package sharedlimit

import (
	"expvar"
	"fmt"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/credit"
	"github.com/rosemarypass/rosemarypass/coord/serverrate"
	"github.com/rosemarypass/rosemarypass/internal/mesh"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Kind is a kind of limits, with the counters that show it.
type Kind struct {
	name string
	// method is the method by which entries exchange credit of the kind.
	method string
	// waitsAtStart makes requests wait for the first credit of an entry that has just started.
	waitsAtStart bool
	// returning is set where callers that are refused come back for the same name: what they asked for counts
	// as asked for until then.
	returning bool
	// idleRefresh is the time between two observations of the other entries while nothing is limited; 0 for
	// that of the exchanges.
	idleRefresh time.Duration

	admitted, waited, refused *expvar.Int
	exchanges, exchangesLost  *expvar.Int
	// sharedAmong is a gauge.
	sharedAmong *expvar.Int
	// firstCredit is reached when the entry begins to create credit, entriesSteady when the number of entries stood
	// still for the first time.
	firstCredit, entriesSteady *telemetry.StartStep
	// use is in the units of the limits.
	use *telemetry.Use
}

// Teams are the limits of callers' teams.
var Teams = &Kind{
	name: "team", method: wire.MethodExchangeCredit, waitsAtStart: true, returning: true,
	admitted: telemetry.Counter("team_limit_admitted"), waited: telemetry.Counter("team_limit_admitted_after_exchange"), refused: telemetry.Counter("team_limit_refused"),
	exchanges: telemetry.Counter("team_limit_exchanges"), exchangesLost: telemetry.Counter("team_limit_exchanges_lost"),
	sharedAmong: telemetry.Counter("team_limit_shared_among"), use: telemetry.UseOf("team_limit_use"),
	firstCredit:   telemetry.ProcessStart().Step("firstCredit", telemetry.Counter("start_first_credit_millis")),
	entriesSteady: telemetry.ProcessStart().Step("entriesSteady", telemetry.Counter("start_entries_steady_millis")),
}

// ServerRates are the rates that backend servers name. A request that gets no turn at one goes to another.
var ServerRates = &Kind{
	name: "server", method: wire.MethodExchangeTurns, idleRefresh: time.Second,
	admitted: telemetry.Counter("server_rate_admitted"), waited: telemetry.Counter("server_rate_admitted_after_exchange"), refused: telemetry.Counter("server_rate_refused"),
	exchanges: telemetry.Counter("server_rate_exchanges"), exchangesLost: telemetry.Counter("server_rate_exchanges_lost"),
	sharedAmong: telemetry.Counter("server_rate_shared_among"), use: telemetry.UseOf("server_rate_use"),
}

// Source tells the limits in force, by name.
type Source interface {
	// Version returns a number that changes with the limits. usable is false while none may be enforced by what
	// is known.
	Version() (version uint64, usable bool)
	Limits() map[string]credit.Limit
	// Changed returns a channel that is closed at a change, nil where changes are only polled.
	Changed() <-chan struct{}
}

// TeamLimits returns the limits of the teams in the configuration in force.
func TeamLimits(documents *mesh.Documents) Source { return teamLimits{documents} }

type teamLimits struct{ *mesh.Documents }

func (t teamLimits) Version() (uint64, bool) {
	current := t.Current()
	return current.State.Index, current.Usable()
}

func (t teamLimits) Limits() map[string]credit.Limit {
	limits := make(map[string]credit.Limit)
	for _, team := range t.Current().Table.Teams() {
		limits[team.Name] = team.Limit
	}
	return limits
}

// ServerRateLimits returns the limits of the servers that name a rate, by ServerName.
func ServerRateLimits(m *mesh.Mesh) Source { return rateLimits{m} }

// ServerName returns the name under which the rate of an incarnation of a server is limited.
func ServerName(life serverrate.Life) string { return fmt.Sprint(life.ID, "@", life.Born) }

type rateLimits struct{ mesh *mesh.Mesh }

func (r rateLimits) Version() (uint64, bool) { return r.mesh.ServerRates().Version, true }

func (r rateLimits) Limits() map[string]credit.Limit {
	limits := make(map[string]credit.Limit)
	for life, rate := range r.mesh.ServerRates().Rates {
		limits[ServerName(life)] = credit.OfServer(rate)
	}
	return limits
}

func (rateLimits) Changed() <-chan struct{} { return nil }
