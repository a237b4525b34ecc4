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

// Errors that end a call. Test for them with errors.Is.
var (
	// ErrConflict means that another writer changed the object first.
	ErrConflict = errors.New("another writer changed the object first")
	// ErrInvalid means that control refused the change by a rule.
	ErrInvalid = errors.New("the change was refused")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnauthorized means that the operator key is unknown.
	ErrUnauthorized = errors.New("the operator key is unknown")
	// ErrUnknown means that a change was sent and no control instance gave a
	// final answer: it may or may not have been accepted. Sending it again
	// under the same operation id is safe.
	ErrUnknown = errors.New("no control instance answered; the change may or may not have been accepted")
	// ErrUnreachable means that no control instance answered, and that
	// nothing was changed.
	ErrUnreachable = errors.New("no control instance answered; nothing was changed")
)

const (
	defaultAttemptTimeout = 5 * time.Second
	defaultRounds         = 3
	roundPause            = 300 * time.Millisecond
	maxAnswerBytes        = 64 << 20
)

// Options configure a client.
type Options struct {
	// URLs are the operators' addresses of the control instances, tried in turn.
	URLs []string
	// Key is the operator key.
	Key string
	// Operation is the operation id of the next change; empty draws one.
	Operation string
	// AttemptTimeout bounds one attempt at one instance.
	AttemptTimeout time.Duration
	// Rounds is how often all instances are tried.
	Rounds int
	// HTTP carries the calls; see Trusting.
	HTTP *http.Client
}

// Trusting returns an HTTP client that trusts control instances whose
// certificates the authority in the PEM file has signed.
func Trusting(authorityFile string) (*http.Client, error) {
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

// Client calls the operators' interface.
type Client struct {
	options     Options
	unconfirmed atomic.Bool
}

// NewClient returns a client with defaults for the options that are zero, and
// a random operation ID.
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

// Operation is the operation id that changes are sent under.
func (c *Client) Operation() string { return c.options.Operation }

// Unconfirmed reports whether an answer came from an instance that no quorum
// had confirmed, so that a later change may be missing from it.
func (c *Client) Unconfirmed() bool { return c.unconfirmed.Load() }

// RefusedError is a result other than ok. It wraps one of the errors above.
type RefusedError struct {
	Result state.Result
	cause  error
}

// Error implements error.
func (e *RefusedError) Error() string { return e.cause.Error() + ": " + e.Result.Message }

// Unwrap implements errors.Unwrap.
func (e *RefusedError) Unwrap() error { return e.cause }

// Get reads an object.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	return c.call(ctx, call{method: http.MethodGet, path: path, into: into, timeout: c.options.AttemptTimeout})
}

// Wait reads an object whose answer may take up to the given time longer.
func (c *Client) Wait(ctx context.Context, path string, longer time.Duration, into any) error {
	return c.call(ctx, call{method: http.MethodGet, path: path, into: into, timeout: c.options.AttemptTimeout + longer})
}

// Change sends a change under the client's operation id.
func (c *Client) Change(ctx context.Context, method, path string, body any) (state.Result, error) {
	return c.ChangeAs(ctx, c.options.Operation, method, path, body)
}

// ChangeAs sends a change under the given operation id.
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
	// accepted reports whether into holds the word that a change is committed;
	// it is nil for a reading.
	accepted func() bool
	timeout  time.Duration
}

// errNoWord means that something answered with success and did not say that the
// change is committed.
var errNoWord = errors.New("the answer does not say that the change was accepted")

// call tries the instances in turn until one answers. An instance that has no
// quorum answers 503; another one may have it.
func (c *Client) call(ctx context.Context, request call) error {
	var last error
	sent := false
	for round := range c.options.Rounds {
		if round > 0 {
			_ = wait.For(ctx, roundPause)
		}
		for _, url := range c.options.URLs {
			answered, err := c.attempt(ctx, url, request)
			if answered {
				return err
			}
			last = err
			sent = sent || !neverSent(err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	if sent && request.method != http.MethodGet {
		return errors.Wrap(ErrUnknown, last.Error())
	}
	return errors.Wrap(ErrUnreachable, last.Error())
}

// neverSent reports whether the call changed nothing: the connection failed
// before any byte could leave, or the instance says so.
func neverSent(err error) bool {
	var refused *notAcceptedError
	var op *net.OpError
	return errors.As(err, &refused) || errors.As(err, &op) && op.Op == "dial"
}

// attempt reports whether the answer is final.
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
		err := read(data, request)
		return err == nil, err
	}
	return true, refusal(response.StatusCode, data)
}

// read takes a success. One that cannot be read is not final: another instance
// may know.
func read(data []byte, request call) error {
	if err := json.Unmarshal(data, request.into); err != nil {
		return errors.Wrap(err, "parse answer")
	}
	if request.accepted != nil && !request.accepted() {
		return errNoWord
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

// refusal is the error that a status below 500 stands for.
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

// notAcceptedError is the word of a control instance that a change was not
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
