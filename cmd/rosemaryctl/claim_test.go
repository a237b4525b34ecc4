package main

import (
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/rosemarypass/rosemarypass/internal/demo"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Guards against a wrong answer about whether a call has run, which a caller asks
// for after it lost the response to that call.
func TestClaimExitCodes(t *testing.T) {
	d, err := demo.Start("127.0.0.1:0", zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Stop(t.Context()) })
	entry := "http://" + d.Entry
	request, err := http.NewRequest(http.MethodPost, entry+"/services/booking-desk/deposits", strings.NewReader(`{}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+demo.CallerKey)
	request.Header.Set(wire.HeaderIdempotencyKey, "deposit-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	cases := []struct {
		key, caller string
		want        exitCode
	}{
		{"deposit-1", demo.CallerKey, exitOK},
		{"deposit-2", demo.CallerKey, exitNotFound},
		{"deposit-1", "nobody", exitUnauthorized},
	}
	for _, c := range cases {
		code, out, errOut := ctl(t, d.OperatorURL(), "claim", c.key, "--entry", entry, "--caller-key", c.caller)
		if code != c.want || c.want == exitOK && !strings.Contains(out, "finished") {
			t.Errorf("%s by %s: exit %d, want %d: %s%s", c.key, c.caller, code, c.want, out, errOut)
		}
	}
}
