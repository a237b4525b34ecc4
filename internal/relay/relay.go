// Package relay forwards an HTTP call to the next hop at most once and separates
// end-to-end from hop-by-hop headers. Package answer writes the response to the
// caller.
package relay

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/pkg/errors"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader adds the end-to-end headers of src to dst.
func CopyHeader(dst, src http.Header) {
	dropped := make(map[string]struct{})
	for _, name := range hopByHop {
		dropped[name] = struct{}{}
	}
	for _, line := range src["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			dropped[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = struct{}{}
		}
	}
	for name, values := range src {
		if _, drop := dropped[name]; drop {
			continue
		}
		dst[name] = append(dst[name], values...)
	}
}

// onceBody hides the concrete reader type, so that net/http sets no GetBody.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// NewRequest builds a request whose body can be sent only once. An empty body
// is wrapped too, because net/http replays a request without a body.
func NewRequest(ctx context.Context, method, url string, body io.Reader, length int64) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, onceBody{body})
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.ContentLength = length
	return request, nil
}
