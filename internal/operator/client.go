package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/wait"
)

// Errors that a call returns. Test for them with errors.Is.
var (
	// ErrConflict means that another writer changed the object first.
	ErrConflict = errors.New("another writer changed the object first")
	// ErrInvalid means that the control instance rejected the change because it
	// violates a rule.
	ErrInvalid = errors.New("the change was refused")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnauthorized means that the operator key is unknown.
	ErrUnauthorized = errors.New("the operator key is unknown")
	// ErrUnknown means that a change was sent but no control instance gave a
	// final answer: the change may or may not have been accepted. Sending it again
	// under the same operation ID is safe.
	ErrUnknown = errors.New("no control instance answered; the change may or may not have been accepted")
	// ErrUnreachable means that no control instance answered and that nothing was
	// changed.
	ErrUnreachable = errors.New("no control instance answered; nothing was changed")
)

const (
	defaultAttemptTimeout = 5 * time.Second
	defaultRounds         = 3
	roundDelay            = 300 * time.Millisecond
	maxAnswerBytes        = 64 << 20
)

// Options configure a client.
type Options struct {
	// URLs are the base URLs of the control instances' operator interfaces. They
	// are tried in order.
	URLs []string
	// Key is the operator key.
	Key string
	// Operation is the operation ID that changes are sent under; if it is empty, a
	// random one is generated.
	Operation string
	// AttemptTimeout bounds one attempt to call one instance; 0 means 5 s.
	AttemptTimeout time.Duration
	// Rounds is the number of times that all instances are tried; 0 means 3.
	Rounds int
	// HTTP is the client for the calls, by default http.DefaultClient. See NewHTTPClient.
	HTTP *http.Client
}

// NewHTTPClient returns an HTTP client that trusts only server certificates signed by
// an authority in the given PEM file.
func NewHTTPClient(authorityFile string) (*http.Client, error) {
	data, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("authority %s holds no certificate", authorityFile)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
	return &http.Client{Transport: transport}, nil
}

// Client is a client of the control instances' operator interface.
type Client struct {
	options     Options
	unconfirmed atomic.Bool
}

// NewClient returns a client. Options that are zero get their defaults; an empty
// operation ID is replaced by a random one.
func NewClient(options Options) *Client {
	if options.AttemptTimeout == 0 {
		options.AttemptTimeout = defaultAttemptTimeout
	}
	if options.Rounds == 0 {
		options.Rounds = defaultRounds
	}
	if options.HTTP == nil {
		options.HTTP = http.DefaultClient
	}
	if options.Operation == "" {
		options.Operation = uuid.NewString()
	}
	return &Client{options: options}
}

// Operation returns the operation ID that changes are sent under.
func (c *Client) Operation() string { return c.options.Operation }

// Unconfirmed reports whether any answer so far was not confirmed by a quorum, so
// that it may lack recent changes.
func (c *Client) Unconfirmed() bool { return c.unconfirmed.Load() }

// RefusedError is returned for a result with a code other than ok. It wraps
// ErrConflict, ErrNotFound or ErrInvalid.
type RefusedError struct {
	Result state.Result
	cause  error
}

// Error implements error.
func (e *RefusedError) Error() string { return e.cause.Error() + ": " + e.Result.Message }

// Unwrap implements errors.Unwrap.
func (e *RefusedError) Unwrap() error { return e.cause }

// Get reads an object into the value that into points to.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	return c.call(ctx, call{method: http.MethodGet, path: path, into: into, timeout: c.options.AttemptTimeout})
}

// Wait reads an object like Get, with the timeout of an attempt extended by extra.
func (c *Client) Wait(ctx context.Context, path string, extra time.Duration, into any) error {
	return c.call(ctx, call{method: http.MethodGet, path: path, into: into, timeout: c.options.AttemptTimeout + extra})
}

// Change sends a change under the client's operation ID.
func (c *Client) Change(ctx context.Context, method, path string, body any) (state.Result, error) {
	return c.ChangeAs(ctx, c.options.Operation, method, path, body)
}

// ChangeAs sends a change under the given operation ID, or without one if it is
// empty.
func (c *Client) ChangeAs(ctx context.Context, operation, method, path string, body any) (state.Result, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return state.Result{}, errors.Wrap(err, "encode change")
	}
	var result state.Result
	err = c.call(ctx, call{
		method:    method,
		path:      path,
		operation: operation,
		body:      data,
		into:      &result,
		accepted:  func() bool { return result.Code == state.CodeOK },
		timeout:   c.options.AttemptTimeout,
	})
	return result, err
}

type call struct {
	method, path, operation string
	body                    []byte
	into                    any
	// accepted reports whether the answer in into confirms that the change is
	// committed; it is nil for a read.
	accepted func() bool
	timeout  time.Duration
}

// errNotAcknowledged means that an answer with a success status does not confirm
// that the change is committed.
var errNotAcknowledged = errors.New("the answer does not say that the change was accepted")

// call tries the instances in order until one gives a final answer. An instance
// without a quorum answers 503; the call then goes to the next instance, which may
// have one.
func (c *Client) call(ctx context.Context, request call) error {
	var lastErr error
	sent := false
	for round := range c.options.Rounds {
		if round > 0 {
			_ = wait.For(ctx, roundDelay)
		}
		for _, url := range c.options.URLs {
			answered, err := c.attempt(ctx, url, request)
			if answered {
				return err
			}
			lastErr = err
			sent = sent || !notExecuted(err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	if sent && request.method != http.MethodGet {
		return errors.Wrap(ErrUnknown, lastErr.Error())
	}
	return errors.Wrap(ErrUnreachable, lastErr.Error())
}

// notExecuted reports whether err proves that the call changed nothing: the
// connection could not be established, so no byte was sent, or the instance
// answered that the change was not accepted.
func notExecuted(err error) bool {
	var refused *notAcceptedError
	var op *net.OpError
	return errors.As(err, &refused) || errors.As(err, &op) && op.Op == "dial"
}

// attempt sends the call to one instance and reports whether its answer is final.
func (c *Client) attempt(ctx context.Context, url string, request call) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, request.timeout)
	defer cancel()
	response, err := c.send(ctx, url, request)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return false, errors.Wrap(err, "read answer")
	}
	if response.Header.Get(UnconfirmedHeader) != "" {
		c.unconfirmed.Store(true)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return false, serverError(response.Status, data)
	}
	if response.StatusCode == http.StatusOK {
		err := decodeAnswer(data, request)
		return err == nil, err
	}
	return true, refusal(response.StatusCode, data)
}

// decodeAnswer decodes the body of an answer with a success status. If it returns
// an error, the answer is not final: another instance may have a valid one.
func decodeAnswer(data []byte, request call) error {
	if err := json.Unmarshal(data, request.into); err != nil {
		return errors.Wrap(err, "parse answer")
	}
	if request.accepted != nil && !request.accepted() {
		return errNotAcknowledged
	}
	return nil
}

func (c *Client) send(ctx context.Context, url string, request call) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, request.method, url+request.path, bytes.NewReader(request.body))
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	r.Header.Set("Authorization", "Bearer "+c.options.Key)
	if request.operation != "" {
		r.Header.Set(OperationHeader, request.operation)
	}
	return c.options.HTTP.Do(r)
}

// refusal returns the error for a status below 500 other than 200.
func refusal(status int, data []byte) error {
	if status == http.StatusUnauthorized {
		return ErrUnauthorized
	}
	var result state.Result
	if err := json.Unmarshal(data, &result); err != nil || result.Code == "" {
		return errors.Wrap(causeOf(status), failureText(data))
	}
	return &RefusedError{Result: result, cause: causeOf(status)}
}

func causeOf(status int) error {
	switch status {
	case http.StatusConflict:
		return ErrConflict
	case http.StatusNotFound:
		return ErrNotFound
	default:
		return ErrInvalid
	}
}

// notAcceptedError means that a control instance answered that a change was not
// accepted and never will be.
type notAcceptedError struct{ message string }

// Error implements error.
func (e *notAcceptedError) Error() string { return e.message }

func serverError(status string, data []byte) error {
	message := status + ": " + failureText(data)
	var failure Failure
	if json.Unmarshal(data, &failure) == nil && failure.NotAccepted {
		return &notAcceptedError{message}
	}
	return errors.New(message)
}

func failureText(data []byte) string {
	var failure Failure
	if err := json.Unmarshal(data, &failure); err != nil || failure.Error == "" {
		return string(bytes.TrimSpace(data))
	}
	return failure.Error
}
