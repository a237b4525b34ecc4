package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/claim"
	"github.com/rosemarypass/rosemarypass/internal/operator"
)

// callerFlags are the flags of the entry to call and of the caller's key.
type callerFlags struct {
	Entry     string `arg:"--entry,env:ROSEMARY_ENTRY" default:"http://127.0.0.1:8080" help:"URL of an entry"`
	CallerKey string `arg:"--caller-key,env:ROSEMARY_CALLER_KEY" help:"caller's key"`
}

// get sends a GET request for a path of the entry with the caller's key.
func (f callerFlags) get(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.Entry+path, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+f.CallerKey)
	return http.DefaultClient.Do(request)
}

type claimCommand struct {
	callerFlags
	IdempotencyKey string `arg:"positional,required" placeholder:"IDEMPOTENCY-KEY"`
}

// claimReport is the entry's record of a call with an idempotency key, which must
// run at most once.
type claimReport struct {
	Key   string      `json:"key"`
	State claim.State `json:"state"`
	// Status is the HTTP status of the recorded answer, or 0 if there is none.
	Status int `json:"status"`
}

// maxClaimBytes bounds the size of an entry's answer about a claim.
const maxClaimBytes = 1 << 20

func (c *claimCommand) run(ctx context.Context, t *tool) error {
	response, err := c.get(ctx, "/claims/"+url.PathEscape(c.IdempotencyKey))
	if err != nil {
		return errors.Wrap(operator.ErrUnreachable, err.Error())
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxClaimBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if err := claimError(response.StatusCode, data); err != nil {
		return err
	}
	var report claimReport
	if err := json.Unmarshal(data, &report); err != nil {
		return errors.Wrap(err, "read claim")
	}
	t.show(report, func() {
		fmt.Fprintf(t.out, "key     %s\nstate   %s\nstatus  %d\n", report.Key, report.State, report.Status)
	})
	return report.exitError()
}

func claimError(status int, data []byte) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return errors.Wrap(operator.ErrNotFound, "no call was claimed with this key")
	case http.StatusUnauthorized:
		return errors.Wrap(operator.ErrUnauthorized, "the caller's key")
	default:
		return errors.Errorf("the entry answered %d: %s", status, data)
	}
}

// exitError returns the error for the claim's state, whose exit code is the one
// that ask uses for the same outcome.
func (r claimReport) exitError() error {
	switch r.State {
	case claim.Finished:
		return nil
	case claim.Free:
		return errNotRun
	default:
		return errOutcomeUnknown
	}
}
