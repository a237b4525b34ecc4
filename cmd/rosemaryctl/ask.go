package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/outcome"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

type askCommand struct {
	callerFlags
	Prompt    string `arg:"positional,required"`
	Model     string `arg:"--model,required" placeholder:"ADAPTER@VERSION" help:"adapter and version"`
	MaxTokens int    `arg:"--max-tokens" default:"64" help:"maximum number of tokens to generate"`
	Stream    bool   `arg:"--stream" help:"print the events of the stream as they arrive"`
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
}

type completionAnswer struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// askReport is the JSON output of ask.
type askReport struct {
	Status    int    `json:"status"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"requestId"`
	Body      string `json:"body"`
}

func (c *askCommand) run(ctx context.Context, t *tool) error {
	response, err := c.send(ctx)
	if err != nil {
		return classifySendError(err)
	}
	defer response.Body.Close()
	report := askReport{
		Status:    response.StatusCode,
		Outcome:   response.Header.Get(outcome.Header),
		RequestID: response.Header.Get(wire.HeaderRequestID),
	}
	if c.Stream && !t.json {
		_, err = io.Copy(t.out, response.Body)
	} else {
		err = t.showAnswer(&report, response.Body)
	}
	if err != nil {
		return errors.Wrap(errOutcomeUnknown, err.Error())
	}
	return report.exitError()
}

func (c *askCommand) send(ctx context.Context) (*http.Response, error) {
	body, err := json.Marshal(completionRequest{Model: c.Model, Prompt: c.Prompt, MaxTokens: c.MaxTokens, Stream: c.Stream})
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Entry+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+c.CallerKey)
	request.Header.Set("Content-Type", "application/json")
	return http.DefaultClient.Do(request)
}

// classifySendError distinguishes a connection that could not be established, so
// that the request was not run, from a lost answer, after which the outcome of the
// request is unknown.
func classifySendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(errNotRun, err.Error())
	}
	return errors.Wrap(errOutcomeUnknown, err.Error())
}

func (t *tool) showAnswer(report *askReport, body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	report.Body = string(data)
	t.show(report, func() {
		var answer completionAnswer
		if json.Unmarshal(data, &answer) == nil && len(answer.Choices) > 0 {
			fmt.Fprintln(t.out, answer.Choices[0].Text)
		} else {
			fmt.Fprintln(t.out, report.Body)
		}
		fmt.Fprintf(t.errors, "status %d, outcome %s, request %s\n", report.Status, report.Outcome, report.RequestID)
	})
	return nil
}

func (r askReport) exitError() error {
	result, err := outcome.Parse(r.Outcome)
	switch {
	case err != nil || result == outcome.Unknown:
		return errOutcomeUnknown
	case result == outcome.NotRun:
		return errNotRun
	default:
		return nil
	}
}
