package entry

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A caller sets a priority of its own to be served before other customers.
func TestOnlyTheContractSetsThePriority(t *testing.T) {
	cases := []struct {
		body     string
		priority int
		want     string
	}{
		{`{"model":"a@1","prompt":"x"}`, 0, `{"model":"a@1","prompt":"x"}`},
		{`{"model":"a@1","prompt":"x","priority":-99}`, 0, `{"model":"a@1","prompt":"x"}`},
		{`{"model":"a@1","priority":-99,"seed":12345678901234567890}`, 3, `{"model":"a@1","priority":-3,"seed":12345678901234567890}`},
		{`{"model":"a@1","priority":1,"priority":"high"}`, 7, `{"model":"a@1","priority":-7}`},
		{`{"model":"a@1","nested":{"priority":5}}`, 0, `{"model":"a@1","nested":{"priority":5}}`},
	}
	for _, c := range cases {
		var parsed callerBody
		if err := json.Unmarshal([]byte(c.body), &parsed); err != nil {
			t.Fatal(err)
		}
		got, err := withPriority([]byte(c.body), parsed, c.priority)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(c.want, string(got)); diff != "" {
			t.Errorf("%s with priority %d: %s", c.body, c.priority, diff)
		}
	}
}
