package entry

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/placement"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

func (e *Entry) callService(w http.ResponseWriter, r *http.Request) {
	customer, problem := e.authenticate(r)
	if problem != nil {
		fail(w, *problem)
		return
	}
	name, path := chi.URLParam(r, "service"), "/"+chi.URLParam(r, "*")
	service, ok := e.follower.Config().Service(name)
	if !ok || !customer.AllowsService(name) {
		fail(w, failure{status: http.StatusNotFound, code: codeUnknownService, message: "the contract covers no service " + name})
		return
	}
	route, ok := service.Match(r.Method, path)
	if !ok {
		fail(w, failure{status: http.StatusNotFound, code: codeUnknownRoute, message: "the service declares no such route"})
		return
	}
	if route.RequireKey && r.Header.Get(wire.HeaderIdempotencyKey) == "" {
		fail(w, failure{status: http.StatusBadRequest, code: codeKeyRequired, message: "this route requires an Idempotency-Key"})
		return
	}
	body, problem := e.readBody(w, r)
	if problem != nil {
		fail(w, *problem)
		return
	}
	c := call{
		request:    placement.Request{Kind: membership.KindService, Pool: name},
		contract:   customer.ID,
		ask:        Ask{Contract: customer},
		path:       path,
		body:       body,
		idempotent: route.Idempotent,
	}
	if key := r.Header.Get(wire.HeaderIdempotencyKey); key != "" && !route.Idempotent {
		e.sendOnce(w, r, c, key)
		return
	}
	e.admit(w, r, c)
}
