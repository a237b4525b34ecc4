package wire

import (
	"encoding/json"
	"testing"
)

// Guards against a field that an entry and an agent of another version name differently, and
// against one that an old reader gets although there is nothing to tell.
func TestSpeedFieldNames(t *testing.T) {
	for _, test := range []struct {
		value any
		want  string
	}{
		{StartDone{ID: "r", Attempt: 1, SlowPercent: 250, SlowAgeMillis: 12}, `{"id":"r","try":1,"slowPercent":250,"slowAgeMillis":12}`},
		{StartDone{ID: "r", Attempt: 1}, `{"id":"r","try":1}`},
		{StartRequest{ID: "r", GapMillis: 300}, `{"id":"r","try":0,"prompt":0,"tokens":0,"waitMillis":0,"gapMillis":300,"heldChange":0}`},
		{EngineState{SlowPercent: 250, HoldAbove: 2000, HoldMillis: 300}, `{"change":0,"known":false,"running":0,"waiting":0,"tokens":0,"batch":0,"memoryTokens":0,"delayMillis":null,"promptMillis":0,"loadMillis":0,"slowPercent":250,"holdAbove":2000,"holdMillis":300,"heldChange":0}`},
	} {
		got, err := json.Marshal(test.value)
		if err != nil || string(got) != test.want {
			t.Errorf("%s, %v, want %s", got, err, test.want)
		}
	}
}
