package operator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"
)

// The address of a control instance can be taken over by another HTTP server, and
// an answer can be truncated or incomplete. Only a result that confirms the commit
// may count as acceptance. After any other answer the outcome is unknown
// (ErrUnknown), and the change may be sent again under its operation ID.
func TestChangeRequiresCommittedResult(t *testing.T) {
	for body, accepted := range map[string]bool{
		`{"code":"ok","index":7}`: true, `{}`: false, `null`: false, `{"index":7}`: false, `{"code":"ok","ind`: false, ``: false, `hello`: false,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		client := NewClient(Options{URLs: []string{server.URL}, Rounds: 1})
		result, err := client.Change(t.Context(), http.MethodPut, "/admin/v1/models/m", struct{}{})
		if (err == nil) != accepted || err != nil && !errors.Is(err, ErrUnknown) {
			t.Errorf("body %q: got %+v, %v, want success only for a committed result, else ErrUnknown", body, result, err)
		}
		server.Close()
	}
}
