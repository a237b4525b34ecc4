package route

import (
	"cmp"
	"math"
	"slices"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/credit"
)

// Unit is what a team's limit counts.
type Unit string

const (
	// UnitRequests counts requests, UnitTokens their prompt and generated tokens.
	UnitRequests Unit = "requests"
	UnitTokens   Unit = "tokens"
)

// Team is a group of callers that share keys, a rank and a limit over all entries.
type Team struct {
	Name string
	Keys []contract.KeyDigest
	// Rank goes before the priority of a route; 0 is served first. It is nil for a team without one.
	Rank  *int
	Limit credit.Limit
	Unit  Unit
	// PlainTokens is the number of tokens that a request counts as that names none.
	PlainTokens int
}

// Cost returns what a request with a number of tokens, 0 if it names none, counts against the team's limit.
func (t *Team) Cost(tokens int) float64 {
	switch {
	case t.Unit != UnitTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return float64(t.PlainTokens)
	}
}

// checkTeams returns an error that names the first team that is not valid.
func (d *Document) checkTeams() error {
	names := make(map[string]bool, len(d.Teams))
	holders := make(map[contract.KeyDigest]string)
	for i := range d.Teams {
		t := &d.Teams[i]
		if t.Name == "" || names[t.Name] {
			return errors.Errorf("team name %q is empty or used twice", t.Name)
		}
		names[t.Name] = true
		if err := t.check(); err != nil {
			return errors.Wrapf(err, "team %q", t.Name)
		}
		for _, key := range t.Keys {
			if other, taken := holders[key]; taken && other != t.Name {
				return errors.Errorf("teams %q and %q share a key", other, t.Name)
			}
			holders[key] = t.Name
		}
	}
	return nil
}

func (t *Team) check() error {
	if slices.Contains(t.Keys, contract.DigestKey("")) {
		return errors.New("a key is empty")
	}
	if t.Rank != nil && *t.Rank < 0 {
		return errors.Errorf("rank %d is below 0", *t.Rank)
	}
	if !isAmount(t.Limit.Rate) || !isAmount(t.Limit.Burst) || t.PlainTokens < 0 {
		return errors.New("the rate, the burst and the tokens of a plain request must not be below 0")
	}
	switch t.Unit {
	case "", UnitRequests, UnitTokens:
		return nil
	default:
		return errors.Errorf("unit %q is neither %s nor %s", t.Unit, UnitRequests, UnitTokens)
	}
}

func isAmount(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// indexTeams returns the teams by the digests of their keys.
func indexTeams(teams []Team) map[contract.KeyDigest]*Team {
	byKey := make(map[contract.KeyDigest]*Team)
	for i := range teams {
		for _, key := range teams[i].Keys {
			byKey[key] = &teams[i]
		}
	}
	return byKey
}

// order is where a request stands among others: by its team's rank, then by its route's.
type order struct{ team, route int }

// orderOf returns the order of a team's requests on a route. A team without a rank is ordered by the route
// alone, among the requests of the teams whose rank equals the route's priority.
func orderOf(t *Team, r *Route) order {
	if t == nil || t.Rank == nil {
		return order{team: r.Priority, route: r.Priority}
	}
	return order{team: *t.Rank, route: r.Priority}
}

// indexRanks numbers, from 0, the orders that occur with the configured teams and routes. Without teams the
// priorities of the routes are the ranks.
func indexRanks(d *Document) map[order]int {
	if len(d.Teams) == 0 {
		return nil
	}
	seen := make(map[order]bool)
	for i := range d.Routes {
		r := &d.Routes[i]
		seen[orderOf(nil, r)] = r.Open
		for j := range d.Teams {
			seen[orderOf(&d.Teams[j], r)] = true
		}
	}
	var orders []order
	for o, used := range seen {
		if used {
			orders = append(orders, o)
		}
	}
	slices.SortFunc(orders, func(a, b order) int { return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.route, b.route)) })
	ranks := make(map[order]int, len(orders))
	for rank, o := range orders {
		ranks[o] = rank
	}
	return ranks
}
