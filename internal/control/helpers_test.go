package control_test

import (
	"encoding/json"
	"testing"
)

func mustJSON(t testing.TB, value any) json.RawMessage {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
