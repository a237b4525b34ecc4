package interim

import (
	"net/http"
	"testing"
)

// Guards against an answer without a final status that is skipped like an interim response, so that its body is read as the next answer.
func TestOnlyInterimResponsesAreSkipped(t *testing.T) {
	for _, test := range []struct {
		name    string
		status  int
		header  http.Header
		interim bool
	}{
		{"continue", 100, nil, true},
		{"processing", 102, nil, true},
		{"early hints", 103, http.Header{"Link": {"x"}}, true},
		{"unknown interim status", 199, nil, true},
		{"connection header", 103, http.Header{"Connection": {"keep-alive"}}, true},
		{"switching protocols", 101, nil, false},
		{"no status", 0, nil, false},
		{"below the first class", 99, nil, false},
		{"length", 103, http.Header{"Content-Length": {"2"}}, false},
		{"length of zero", 102, http.Header{"Content-Length": {"0"}}, false},
	} {
		if err := Check(test.status, test.header); err == nil != test.interim {
			t.Errorf("%s: Check(%d) = %v", test.name, test.status, err)
		}
	}
}
