package control

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"

	"github.com/rosemarypass/rosemarypass/internal/operator"
)

// UseQuotas lets operators read the limits in force. It must be called before Run.
func (c *Control) UseQuotas(quotas *Quotas) { c.quotas = quotas }

// routeLimits serves the limits in force, of every contract in use or of one.
func (c *Control) routeLimits(router chi.Router) {
	serve := func(w http.ResponseWriter, r *http.Request) { serveLimits(w, r, c.quotas) }
	router.Get("/limits", serve)
	router.Get("/limits/{id}", serve)
}

func serveLimits(w http.ResponseWriter, r *http.Request, quotas *Quotas) {
	if quotas == nil {
		writeError(w, http.StatusServiceUnavailable, ErrNotOwner.Error())
		return
	}
	id := chi.URLParam(r, "id")
	limits, err := quotas.Limits(r.Context(), id)
	switch {
	case err != nil:
		// On this status the operators' client calls the next instance.
		writeError(w, http.StatusServiceUnavailable, err.Error())
	case id != "" && len(limits.Contracts) == 0:
		writeError(w, http.StatusNotFound, "no such contract, or it is retired")
	default:
		slices.SortFunc(limits.Contracts, func(a, b operator.ContractLimits) int { return cmp.Compare(a.Contract, b.Contract) })
		writeJSON(w, http.StatusOK, limits)
	}
}
