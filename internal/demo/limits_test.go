package demo_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/internal/demo"
	"github.com/rosemarypass/rosemarypass/internal/operator"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// An operator cuts a contract to one request at a time while a request runs.
// The running one ends well; the next one is refused by that clause, and the
// operator sees it.
func TestContractChangeIsInForceInMidFlight(t *testing.T) {
	d := startDemo(t)
	operators := operator.NewClient(operator.Options{URLs: []string{"http://" + d.Operator}, Key: demo.OperatorKey})
	var running sync.WaitGroup
	running.Go(func() {
		long := `{"model":"quote-draft@1","prompt":"x","max_tokens":250}`
		if response, body := post(t, d, "/v1/completions", demo.CallerKey, long); response.StatusCode != http.StatusOK {
			t.Errorf("the running request: %s: %s", response.Status, body)
		}
	})
	awaitBusy(t, operators)
	agreed, err := operators.Contract(t.Context(), demo.ContractID)
	if err != nil {
		t.Fatal(err)
	}
	agreed.Limits.Concurrency, agreed.Limits.MaxWait = 1, 50*time.Millisecond
	result, err := operators.PutContract(t.Context(), agreed)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := operators.InForce(t.Context(), result.Index, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	response, body := post(t, d, "/v1/completions", demo.CallerKey, `{"model":"quote-draft@1","prompt":"x","max_tokens":1}`)
	if response.StatusCode != http.StatusTooManyRequests || response.Header.Get(wire.HeaderClause) != string(contract.ClauseConcurrency) {
		t.Errorf("the next request: %s: %s", response.Status, body)
	}
	if response.Header.Get("Retry-After") == "" || !strings.Contains(body, `"param":"concurrency"`) {
		t.Errorf("the next request: %v: %s", response.Header, body)
	}
	running.Wait()
	// The slot is free again.
	for {
		response, _ = post(t, d, "/v1/completions", demo.CallerKey, `{"model":"quote-draft@1","prompt":"x","max_tokens":1}`)
		if response.StatusCode == http.StatusOK {
			return
		}
	}
}

// awaitBusy returns once the owner of the quotas has heard of the running request.
func awaitBusy(t *testing.T, operators *operator.Client) {
	t.Helper()
	for {
		limits, err := operators.Limits(t.Context(), demo.ContractID)
		if err == nil && len(limits.Contracts) == 1 && limits.Contracts[0].Busy > 0 {
			return
		}
		if err != nil && t.Context().Err() != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
