// Package caller is a stand-in for a caller's application. It requests streamed
// completions and checks that each answer is complete and belongs to the request.
// It expects the tokens that the stand-in engine generates.
package caller

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/standin/engine"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Caller sends requests with the key of one contract.
type Caller struct {
	client *http.Client
	key    string
}

// New returns a caller that uses the contract key and keeps up to idle
// connections per entry open between requests.
func New(key string, idle int) *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle}}, key: key}
}

// Complete requests the given number of tokens of a model ("adapter@version") from
// the entry or engine at the base URL. It returns an error if the request fails,
// the status is not 200, or a token is missing, out of order, or belongs to
// another request or model.
func (c *Caller) Complete(base, model string, tokens int) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":%d,"stream":true}`, model, tokens)
	request, err := http.NewRequest(http.MethodPost, base+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s", response.Status, answer)
	}
	return check(string(answer), model, response.Header.Get(wire.HeaderRequestID), tokens)
}

// check returns an error unless answer holds exactly the tokens of the request, in
// order.
func check(answer, model, request string, tokens int) error {
	if events := strings.Count(answer, "data: {"); events != tokens {
		return errors.Errorf("request %s has %d tokens, want %d", request, events, tokens)
	}
	for token := range tokens {
		_, rest, found := strings.Cut(answer, engine.TokenText(model, request, token))
		if !found {
			return errors.Errorf("token %d of request %s is missing", token, request)
		}
		answer = rest
	}
	return nil
}
