package entry

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/placement"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

func (e *Entry) callService(in *inbound, r *http.Request) reply {
	customer, problem := e.authenticate(r)
	if problem != nil {
		return in.fail(*problem)
	}
	name, path := chi.URLParam(r, "service"), "/"+chi.URLParam(r, "*")
	service, ok := e.follower.Config().Service(name)
	if !ok || !customer.AllowsService(name) {
		return in.fail(failure{status: http.StatusNotFound, code: codeUnknownService, message: "the contract covers no service " + name})
	}
	route, ok := service.Match(r.Method, path)
	if !ok {
		return in.fail(failure{status: http.StatusNotFound, code: codeUnknownRoute, message: "the service declares no such route"})
	}
	if route.RequireKey && r.Header.Get(wire.HeaderIdempotencyKey) == "" {
		return in.fail(failure{status: http.StatusBadRequest, code: codeKeyRequired, message: "this route requires an Idempotency-Key"})
	}
	body, problem := e.readBody(in, r)
	if problem != nil {
		return in.fail(*problem)
	}
	c := call{
		request:    placement.Request{Kind: membership.KindService, Pool: name},
		contract:   customer.ID,
		admission:  AdmissionRequest{Contract: customer},
		path:       path,
		body:       body,
		idempotent: route.Idempotent,
	}
	if key := r.Header.Get(wire.HeaderIdempotencyKey); key != "" && !route.Idempotent {
		return e.sendOnce(in, r, c, key)
	}
	return e.admit(in, r, c)
}
