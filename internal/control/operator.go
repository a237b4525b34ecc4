package control

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/answer"
	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/intake"
	"github.com/rosemarypass/rosemarypass/internal/operator"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// maxOperatorBody bounds the body of an operator's request, in bytes.
const maxOperatorBody = 1 << 20

// readBarrierTimeout bounds how long a read waits for a quorum before it is
// answered as unconfirmed.
const readBarrierTimeout = time.Second

var (
	operatorUnauthorizedCount = telemetry.Counter("control_operator_unauthorized")
	proposedCount             = telemetry.Counter("control_proposals")
	proposeFailedCount        = telemetry.Counter("control_proposals_failed")
	unconfirmedReadCount      = telemetry.Counter("control_reads_unconfirmed")
)

// OperatorHandler serves the operators' HTTP interface.
func (c *Control) OperatorHandler() http.Handler {
	router := chi.NewRouter()
	router.Post(AnnouncePath, c.announceOverHTTP)
	router.Route("/admin/v1", func(admin chi.Router) {
		admin.Use(c.authenticateOperator)
		admin.Group(func(reads chi.Router) {
			reads.Use(c.confirmRead)
			c.routeReads(reads)
		})
		c.routeChanges(admin)
		c.routeMembers(admin)
		c.routeLimits(admin)
		admin.Get("/status", c.getStatus)
		admin.Get("/in-force/{index}", c.getInForce)
	})
	return router
}

func (c *Control) routeReads(router chi.Router) {
	router.Get("/contracts", c.listContracts)
	router.Get("/contracts/{id}", c.getContract)
	router.Get("/models", c.listModels)
	router.Get("/adapters", c.listAdapters)
	router.Get("/services", c.listServices)
	router.Get("/services/{name}", c.getService)
	router.Get("/servers", c.listServers)
	router.Get("/servers/{name}", c.getServer)
	router.Get("/advice/servers", c.advice.get)
}

func (c *Control) routeChanges(router chi.Router) {
	router.Put("/contracts/{id}", c.putContract)
	router.Post("/contracts/{id}/keys", c.changeKeys)
	router.Put("/models/{name}", c.putModel)
	router.Put("/adapters/{ref}", c.putAdapter)
	router.Post("/adapters/{ref}/retire", c.retireAdapter)
	router.Put("/services/{name}", c.putService)
	router.Put("/servers/{name}", c.putServer)
}

func (c *Control) authenticateOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !matchesKey(c.options.OperatorKeyHashes, bearer(r)) {
			operatorUnauthorizedCount.Add(1)
			writeError(w, http.StatusUnauthorized, "unknown operator key")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func bearer(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key
}

// matchesKey reports whether the key has one of the hashes. It compares in constant
// time, so that its timing does not reveal how much of a guessed key's digest is
// correct.
func matchesKey(hashes []string, key string) bool {
	hash := []byte(follow.HashKey(key))
	matched := 0
	for _, candidate := range hashes {
		matched |= subtle.ConstantTimeCompare(hash, []byte(candidate))
	}
	return matched == 1
}

// confirmRead makes a read see every change accepted before it. Without a quorum the
// read is still answered, and marked as unconfirmed: operators need reads most when
// the control instances are failing.
func (c *Control) confirmRead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), readBarrierTimeout)
		defer cancel()
		if err := c.commandLog.Barrier(ctx); err != nil {
			unconfirmedReadCount.Add(1)
			w.Header().Set(operator.UnconfirmedHeader, "true")
		}
		next.ServeHTTP(w, r)
	})
}

// writeJSON encodes the whole body before it sends the status, so that an encoding
// error is answered with status 500.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "the answer cannot be written: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, operator.Failure{Error: message})
}

func (c *Control) propose(w http.ResponseWriter, r *http.Request, command state.Command) {
	proposedCount.Add(1)
	command.OperationID = r.Header.Get(operator.OperationHeader)
	result, err := c.Propose(r.Context(), command)
	if err != nil {
		proposeFailedCount.Add(1)
		failure := operator.Failure{Error: err.Error(), NotAccepted: errors.Is(err, ErrNotAccepted)}
		writeJSON(w, http.StatusServiceUnavailable, failure)
		return
	}
	writeJSON(w, httpStatus(result.Code), result)
}

func httpStatus(code state.Code) int {
	switch code {
	case state.CodeOK:
		return http.StatusOK
	case state.CodeConflict:
		return http.StatusConflict
	case state.CodeNotFound:
		return http.StatusNotFound
	default:
		return http.StatusUnprocessableEntity
	}
}

// readBody decodes the body of a request; if that fails, it answers and returns false.
func (c *Control) readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	holding := c.options.Intake.Begin(func() { answer.EndRead(r.Context()) })
	defer holding.Release()
	body, err := holding.ReadRequest(r, maxOperatorBody)
	if err != nil {
		// The rest of the body is unread.
		w.Header().Set("Connection", "close")
		status := http.StatusBadRequest
		if errors.Is(err, intake.ErrNoRoom) {
			status = http.StatusServiceUnavailable
		}
		writeJSON(w, status, operator.Failure{Error: err.Error(), NotAccepted: true})
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}
