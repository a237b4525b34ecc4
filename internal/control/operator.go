package control

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/follow"
)

// OperationHeader carries the operator's operation id.
const OperationHeader = "Rosemarypass-Operation"

// maxOperatorBody bounds a body that an operator sends, in bytes.
const maxOperatorBody = 1 << 20

// OperatorHandler serves the operators' HTTP interface.
func (c *Control) OperatorHandler() http.Handler {
	router := chi.NewRouter()
	router.Use(c.authenticateOperator)
	router.Get("/admin/v1/contracts/{id}", c.getContract)
	router.Put("/admin/v1/contracts/{id}", c.putContract)
	router.Put("/admin/v1/adapters/{ref}", c.putAdapter)
	router.Put("/admin/v1/services/{name}", c.putService)
	router.Get("/admin/v1/servers", c.listServers)
	return router
}

func (c *Control) authenticateOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !c.knowsOperator(key) {
			writeError(w, http.StatusUnauthorized, "unknown operator key")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (c *Control) knowsOperator(key string) bool {
	hash := []byte(follow.HashKey(key))
	known := 0
	for _, candidate := range c.options.OperatorKeyHashes {
		known |= subtle.ConstantTimeCompare(hash, []byte(candidate))
	}
	return known == 1
}

// ErrorBody is what an operator reads when a call fails.
type ErrorBody struct {
	Error string `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, ErrorBody{Error: message})
}

func (c *Control) getContract(w http.ResponseWriter, r *http.Request) {
	found, ok := c.Contract(chi.URLParam(r, "id"))
	if !ok {
		writeError(w, http.StatusNotFound, "no such contract")
		return
	}
	writeJSON(w, http.StatusOK, found)
}

// putContract takes the whole contract; its Revision is the one that the
// writer read, 0 to create.
func (c *Control) putContract(w http.ResponseWriter, r *http.Request) {
	var next contract.Contract
	if !readBody(w, r, &next) {
		return
	}
	next.ID = chi.URLParam(r, "id")
	c.propose(w, r, state.Command{PutContract: &state.PutContract{Expected: next.Revision, Contract: next}})
}

func (c *Control) putAdapter(w http.ResponseWriter, r *http.Request) {
	var adapter catalogue.Adapter
	if !readBody(w, r, &adapter) {
		return
	}
	c.propose(w, r, state.Command{PutAdapter: &adapter})
}

func (c *Control) putService(w http.ResponseWriter, r *http.Request) {
	var service catalogue.Service
	if !readBody(w, r, &service) {
		return
	}
	c.propose(w, r, state.Command{PutService: &state.PutService{Expected: service.Revision, Service: service}})
}

func (c *Control) listServers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.Servers())
}

func (c *Control) propose(w http.ResponseWriter, r *http.Request, command state.Command) {
	command.OperationID = r.Header.Get(OperationHeader)
	result, err := c.Propose(r.Context(), command)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, statusOf(result.Code), result)
}

func statusOf(code state.Code) int {
	switch code {
	case state.CodeOK:
		return http.StatusOK
	case state.CodeConflict:
		return http.StatusConflict
	default:
		return http.StatusUnprocessableEntity
	}
}

func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOperatorBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}
