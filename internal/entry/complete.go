package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/placement"
	"github.com/rosemarypass/rosemarypass/coord/prefixcache"
	"github.com/rosemarypass/rosemarypass/internal/agent"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

type callerBody struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int64  `json:"max_tokens"`
	MaxCompletionTokens int64  `json:"max_completion_tokens"`
	N                   int64  `json:"n"`
	// Priority is parsed only so that it can be replaced by the contract's
	// priority.
	Priority json.RawMessage `json:"priority"`
}

func (e *Entry) complete(in *inbound, r *http.Request) reply {
	customer, problem := e.authenticate(r)
	if problem != nil {
		return in.fail(*problem)
	}
	body, problem := e.readBody(in, r)
	if problem != nil {
		return in.fail(*problem)
	}
	adapter, parsed, problem := e.resolve(customer, body)
	if problem != nil {
		return in.fail(*problem)
	}
	prepared, err := withPriority(body, parsed, customer.Priority)
	if err != nil {
		return in.fail(failure{status: http.StatusBadRequest, code: codeMalformed, message: err.Error()})
	}
	r.Header.Set(wire.HeaderModel, adapter.Ref.String())
	r.Header.Set(agent.HeaderSource, adapter.Source)
	c := call{
		request:    placement.Request{Kind: membership.KindEngine, Ref: adapter.Ref, BaseModel: adapter.BaseModel, Prefix: prefixcache.Chain(adapter.Ref, body)},
		contract:   customer.ID,
		admission:  newAdmissionRequest(customer, parsed, len(body)),
		path:       r.URL.Path,
		body:       prepared,
		idempotent: true,
	}
	c.fingerprint = crashFingerprint(c)
	c.suspect = e.follower.Config().Suspect(c.fingerprint, time.Now())
	r.Header.Set(wire.HeaderFingerprint, string(c.fingerprint))
	return e.admit(in, r, c)
}

func (e *Entry) resolve(customer contract.Contract, body []byte) (catalogue.Adapter, callerBody, *failure) {
	var parsed callerBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return catalogue.Adapter{}, parsed, &failure{status: http.StatusBadRequest, code: codeMalformed, message: "the body is not valid JSON"}
	}
	ref, err := catalogue.ParseRef(parsed.Model)
	if err != nil {
		return catalogue.Adapter{}, parsed, &failure{status: http.StatusBadRequest, code: codeMalformed, message: err.Error()}
	}
	if !customer.AllowsAdapter(ref.Adapter) {
		return catalogue.Adapter{}, parsed, &failure{status: http.StatusForbidden, code: codeNotInContract, message: "the contract does not cover adapter " + ref.Adapter}
	}
	adapter, ok := e.follower.Config().Adapter(ref)
	if !ok {
		return catalogue.Adapter{}, parsed, &failure{status: http.StatusNotFound, code: codeUnknownModel, message: "there is no adapter " + ref.String()}
	}
	return adapter, parsed, nil
}
