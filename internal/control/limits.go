package control

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"
)

// UseQuotas lets operators read the limits in force, before Run.
func (c *Control) UseQuotas(quotas *Quotas) { c.quotas = quotas }

// routeLimits serves the limits in force: every contract in use, or one.
func (c *Control) routeLimits(router chi.Router) {
	serve := func(w http.ResponseWriter, r *http.Request) { serveLimits(w, r, c.quotas) }
	router.Get("/limits", serve)
	router.Get("/limits/{id}", serve)
}

func serveLimits(w http.ResponseWriter, r *http.Request, quotas *Quotas) {
	if quotas == nil {
		writeError(w, http.StatusNotFound, "this instance has no quotas")
		return
	}
	standings, err := quotas.Standings(r.Context(), chi.URLParam(r, "id"))
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if !standings.Owner {
		writeError(w, http.StatusMisdirectedRequest, "another control instance owns the quotas: ask the leader")
		return
	}
	slices.SortFunc(standings.Contracts, func(a, b ContractStanding) int { return cmp.Compare(a.Contract, b.Contract) })
	writeJSON(w, http.StatusOK, standings)
}
