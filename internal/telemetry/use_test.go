package telemetry

import (
	"encoding/json"
	"fmt"
	"testing"
)

// Guards against a list of names that grows without end.
func TestUseByNameIsBounded(t *testing.T) {
	u := newUse()
	for i := range 3 * maxNamesShown {
		u.Admit(fmt.Sprint("team-", i), 12)
		u.Admit(fmt.Sprint("team-", i), -2)
		u.Refuse(fmt.Sprint("team-", i), 5)
	}
	var shown map[string]amounts
	if err := json.Unmarshal([]byte(u.String()), &shown); err != nil {
		t.Fatal(err)
	}
	var sum amounts
	for _, a := range shown {
		sum.Admitted, sum.Refused = sum.Admitted+a.Admitted, sum.Refused+a.Refused
	}
	if want := (amounts{Admitted: 30 * maxNamesShown, Refused: 15 * maxNamesShown}); len(shown) != maxNamesShown+1 || sum != want {
		t.Errorf("%d names are shown with %+v in all, want %+v", len(shown), sum, want)
	}
}
