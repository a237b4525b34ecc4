package document

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func put(version uint64, body string) []byte {
	data, _ := json.Marshal(Command{Put: &Put{Version: version, Body: json.RawMessage(body)}})
	return data
}

func adapterVersion(adapter string, version int64) []byte {
	data, _ := json.Marshal(Command{AdapterVersion: &AdapterVersion{Adapter: adapter, Version: version}})
	return data
}

// Two operators send different documents with the same version, or an old one
// arrives again after a newer one. Readers must get the first content of the
// highest version: otherwise the routes of an operator whose document was accepted
// would revert.
func TestHighestVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Machine
		first := make(map[uint64]string)
		var highest uint64
		versions := rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 40).Draw(t, "versions")
		for i, version := range versions {
			body := fmt.Sprintf(`{"sent":%d}`, i)
			changed, err := m.Apply(uint64(i+1), put(version, body))
			if err != nil {
				t.Fatal(err)
			}
			if higher := version > highest; changed != higher {
				t.Fatalf("version %d after %d: changed = %v, want changed only by a higher version", version, highest, changed)
			}
			if version > highest {
				highest, first[version] = version, body
			}
			if s := m.State(); s.Version != highest || string(s.Body) != first[highest] {
				t.Fatalf("current version %d with %s, want %d with %s", s.Version, s.Body, highest, first[highest])
			}
		}
	})
}

func TestAdapterVersionsNeverDecrease(t *testing.T) {
	var m Machine
	for i, step := range []struct {
		version int64
		want    int64
	}{{2, 2}, {5, 5}, {3, 5}, {5, 5}} {
		if _, err := m.Apply(uint64(i+1), adapterVersion("m/a", step.version)); err != nil {
			t.Fatal(err)
		}
		if got := m.State().Adapters["m/a"]; got != step.want {
			t.Errorf("after version %d the adapter has version %d, want %d", step.version, got, step.want)
		}
	}
	if got := m.State().Index; got != 2 {
		t.Errorf("index %d, want 2: later commands have no effect", got)
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	var m, restored Machine
	for i, command := range [][]byte{put(3, `{"a":1}`), adapterVersion("m/a", 7)} {
		if _, err := m.Apply(uint64(i+1), command); err != nil {
			t.Fatal(err)
		}
	}
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	got, _ := restored.Snapshot()
	if string(got) != string(data) {
		t.Errorf("restored %s, want %s", got, data)
	}
}

func TestInvalidCommandHasNoEffect(t *testing.T) {
	var m Machine
	if changed, err := m.Apply(1, []byte(`{"put":`)); changed || err == nil {
		t.Errorf("Apply returned changed = %v, error %v", changed, err)
	}
}

// Guards against a command that is acknowledged as applied although it would still change the state, and against one that is proposed again although it cannot.
func TestIncludedCommandsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Machine
		for index := range uint64(rapid.IntRange(1, 20).Draw(t, "commands")) {
			command := Command{Put: &Put{Version: rapid.Uint64Range(0, 4).Draw(t, "version"), Body: json.RawMessage(`{}`)}}
			if rapid.Bool().Draw(t, "adapter version") {
				command = Command{AdapterVersion: &AdapterVersion{Adapter: "m/a", Version: rapid.Int64Range(0, 4).Draw(t, "version")}}
			}
			data, _ := json.Marshal(command)
			state := m.State()
			included := state.Includes(command)
			changed, err := m.Apply(index+1, data)
			if err != nil || changed == included {
				t.Fatalf("a command is included: %v, and changed the state: %v, error %v", included, changed, err)
			}
		}
	})
}
