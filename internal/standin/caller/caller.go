// Package caller is a stand-in for a caller's application: it asks for streamed
// completions and checks that each answer is whole and its own. It knows the
// tokens that the stand-in engine gives.
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

// Caller asks under one contract.
type Caller struct {
	client *http.Client
	key    string
}

// New returns a caller with a contract's key, which keeps up to idle
// connections to one entry open between requests.
func New(key string, idle int) *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle}}, key: key}
}

// Complete asks the entry, or engine, at base for a number of tokens from a
// model ("adapter@version"). The error tells what was wrong with the answer:
// another status than 200, a token that is missing or out of order, or one
// that belongs to another request or model.
func (c *Caller) Complete(base, model string, tokens int) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":%d,"stream":true}`, model, tokens)
	request, err := http.NewRequest(http.MethodPost, base+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask")
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

// check looks for each token of the request in its order, and for no other.
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
