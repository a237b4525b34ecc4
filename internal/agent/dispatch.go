package agent

import (
	"bytes"
	"io"
	"net/http"

	"go.opentelemetry.io/otel/propagation"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/relay"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// wrongModelCount counts answers that the engine gave by another model than
// the request asked for; they are never relayed.
var wrongModelCount = telemetry.Counter("agent_wrong_model")

// dispatch runs a request whose adapter is pinned.
func (a *Agent) dispatch(w http.ResponseWriter, r *http.Request, ref catalogue.Ref, body []byte) {
	request, err := relay.NewRequest(r.Context(), r.Method, a.options.Engine+r.URL.Path, bytes.NewReader(body), int64(len(body)))
	if err != nil {
		refuse(w, http.StatusInternalServerError, err.Error())
		return
	}
	relay.CopyHeader(request.Header, r.Header)
	// A compressed answer would hide the model that it names.
	request.Header.Del("Accept-Encoding")
	telemetry.Propagator().Inject(r.Context(), propagation.HeaderCarrier(request.Header))
	response, err := a.client.Do(request)
	if err != nil {
		a.noAnswer(w, outcome.Decide(outcome.Evidence{Sent: relay.Sent(err)}))
		return
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		a.sendEnd(adapterLost{ref: ref})
		refuse(w, http.StatusServiceUnavailable, "the engine lost the adapter")
		return
	}
	answer := io.Reader(response.Body)
	if succeeded := response.StatusCode < http.StatusBadRequest; succeeded {
		ran, whole, err := peekModel(response.Body)
		if err != nil || ran != ref.String() {
			wrongModelCount.Add(1)
			a.noAnswer(w, outcome.Unknown)
			return
		}
		answer = whole
		w.Header().Set(wire.HeaderRan, ran)
	}
	relay.CopyHeader(w.Header(), response.Header)
	w.Header().Set(outcome.Header, outcome.Answered.String())
	w.WriteHeader(response.StatusCode)
	if _, err := relay.Stream(w, answer, 0); err != nil {
		panic(http.ErrAbortHandler)
	}
	relay.CopyTrailer(w, response.Trailer)
}

// noAnswer ends a request that the engine did not answer.
func (a *Agent) noAnswer(w http.ResponseWriter, said outcome.Outcome) {
	if said == outcome.NotRun {
		refuse(w, http.StatusServiceUnavailable, "the engine cannot be reached")
		return
	}
	unknownCount.Add(1)
	w.Header().Set(outcome.Header, said.String())
	http.Error(w, "the engine gave no usable answer", http.StatusBadGateway)
}
