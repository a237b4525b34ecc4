// Package interim tells interim HTTP responses, after which the final response to the
// same request follows, from answers of a server in trouble whose status is none. If one
// of these were skipped like an interim response, the next response would be read from
// its body, and a caller would get whatever the server had put there.
package interim

import (
	"net/http"

	"github.com/pkg/errors"
)

// ErrInvalid means that a response has a status below 200 and is not an interim one.
var ErrInvalid = errors.New("a response with neither a final nor an interim status")

// IsFinal reports whether a status ends an exchange (RFC 9110, 15).
func IsFinal(status int) bool { return status >= http.StatusOK }

// Check returns ErrInvalid unless a response with a status that is not final is an
// interim one, to a request that asked for no other protocol: its status is at least 100
// and not 101, and it announces no length, as an interim response has no body (RFC 9110,
// 8.6). A client whose parser tells more of the response, such as chunks, checks that too.
func Check(status int, header http.Header) error {
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols || len(header["Content-Length"]) > 0 {
		return errors.Wrapf(ErrInvalid, "status %03d", status)
	}
	return nil
}
