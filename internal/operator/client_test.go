package operator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"
)

// An operator's change reaches an address at which something else answers now,
// or an answer that says less than it should. Only the word of a control instance
// that the change is committed may pass for that; anything else leaves it open,
// and the change may be sent again under its id.
func TestOnlyTheWordOfControlAcceptsAChange(t *testing.T) {
	for body, accepted := range map[string]bool{
		`{"code":"ok","index":7}`: true, `{}`: false, `null`: false, `{"index":7}`: false, `{"code":"ok","ind`: false, ``: false, `hello`: false,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		client := NewClient(Options{URLs: []string{server.URL}, Rounds: 1})
		result, err := client.Change(t.Context(), http.MethodPut, "/admin/v1/models/m", struct{}{})
		if (err == nil) != accepted || err != nil && !errors.Is(err, ErrUnknown) {
			t.Errorf("%q gives %+v, %v", body, result, err)
		}
		server.Close()
	}
}
