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

// Guards against a lowered concurrency limit that aborts running requests or
// applies late. The limit is set to 1 while a request runs: that request must
// complete, and once the change is in force the next request must be refused
// with the concurrency clause.
func TestContractChangeAppliesWhileRequestRuns(t *testing.T) {
	d := startDemo(t)
	operators := operator.NewClient(operator.Options{URLs: []string{"http://" + d.Operator}, Key: demo.OperatorKey})
	// The running request ends only once the next one has been judged.
	resume := d.Engine.Hold()
	defer resume()
	var running sync.WaitGroup
	running.Go(func() {
		request := `{"model":"quote-draft@1","prompt":"x","max_tokens":250}`
		if response, body := post(t, d, "/v1/completions", demo.CallerKey, request); response.StatusCode != http.StatusOK {
			t.Errorf("the running request: got %s: %s, want 200", response.Status, body)
		}
	})
	awaitRequestInFlight(t, operators)
	current, err := operators.Contract(t.Context(), demo.ContractID)
	if err != nil {
		t.Fatal(err)
	}
	current.Limits.Concurrency, current.Limits.MaxWait = 1, 50*time.Millisecond
	result, err := operators.PutContract(t.Context(), current)
	if err != nil {
		t.Fatal(err)
	}
	awaitInForce(t, operators, result.Index)
	response, body := post(t, d, "/v1/completions", demo.CallerKey, `{"model":"quote-draft@1","prompt":"x","max_tokens":1}`)
	if response.StatusCode != http.StatusTooManyRequests || response.Header.Get(wire.HeaderClause) != string(contract.ClauseConcurrency) {
		t.Errorf("the next request: got %s: %s, want 429 with the concurrency clause", response.Status, body)
	}
	if response.Header.Get("Retry-After") == "" || !strings.Contains(body, `"param":"concurrency"`) {
		t.Errorf("the next request: got header %v, body %s, want Retry-After and the clause", response.Header, body)
	}
	resume()
	running.Wait()
	// The concurrency slot becomes free again.
	for {
		response, _ = post(t, d, "/v1/completions", demo.CallerKey, `{"model":"quote-draft@1","prompt":"x","max_tokens":1}`)
		if response.StatusCode == http.StatusOK {
			return
		}
	}
}

// awaitInForce waits until all daemons have confirmed a change.
func awaitInForce(t *testing.T, operators *operator.Client, index uint64) {
	t.Helper()
	for {
		report, err := operators.InForce(t.Context(), index, 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if report.Done {
			return
		}
	}
}

// awaitRequestInFlight waits until the running request has been reported to the
// owner of the quotas.
func awaitRequestInFlight(t *testing.T, operators *operator.Client) {
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
