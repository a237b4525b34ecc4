package state_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/state"
)

func keyHash(n int) string { return fmt.Sprintf("%064x", n) }

func sampleContract(id string, rate float64, keys ...string) contract.Contract {
	return contract.Contract{
		ID:        id,
		KeyHashes: keys,
		Adapters:  []string{"*"},
		Limits:    contract.Limits{RequestsPerSecond: rate, TokensPerMinute: 1, Concurrency: 1, MaxWait: time.Second},
		Share:     1,
	}
}

func createContract(id string, rate float64, keys ...string) state.Command {
	return state.Command{PutContract: &state.PutContract{Contract: sampleContract(id, rate, keys...)}}
}

func adapter(ref, source string) *catalogue.Adapter {
	parsed, err := catalogue.ParseRef(ref)
	if err != nil {
		panic(err)
	}
	return &catalogue.Adapter{Ref: parsed, BaseModel: "base", Source: source}
}

// seeded returns a machine with one object of each kind, and the commands that
// created them.
func seeded(t testing.TB) (*state.Machine, []state.Command) {
	commands := []state.Command{
		createContract("cascade", 10, keyHash(1)),
		{PutModel: &catalogue.Model{Name: "base"}},
		{PutAdapter: adapter("quote-draft@1", "store://1")},
		{PutService: &state.PutService{Service: catalogue.Service{Name: "dock", Routes: []catalogue.Route{{Method: "POST", PathPrefix: "/"}}}}},
		{PutServer: &state.PutServer{Server: state.Server{Name: "floor-1", Wanted: state.WantedDraining}}},
		{Fence: &state.Fence{Server: "floor-1", Holder: "entry-1"}},
	}
	m := state.NewMachine()
	for i, command := range commands {
		command.OperationID = fmt.Sprint("seed-", i)
		command.Time = int64(1000 + i)
		commands[i] = command
		if result, _ := m.Apply(uint64(i+1), command); result.Code != state.CodeOK {
			t.Fatalf("%d: %+v", i, result)
		}
	}
	return m, commands
}

// Two operators read the same revision and both write. Without the revision check
// the second write would silently overwrite the first.
func TestConcurrentWriteReturnsConflictWithWinner(t *testing.T) {
	m, _ := seeded(t)
	read, _ := m.Contract("cascade")
	first := state.Command{PutContract: &state.PutContract{Expected: read.Revision, Contract: sampleContract("cascade", 20)}}
	second := state.Command{PutContract: &state.PutContract{Expected: read.Revision, Contract: sampleContract("cascade", 30)}}
	if won, change := m.Apply(10, first); won.Code != state.CodeOK || change.Contract.Revision != 10 {
		t.Fatalf("first write: %+v, want it applied", won)
	}
	lost, change := m.Apply(11, second)
	if lost.Code != state.CodeConflict || change != nil {
		t.Fatalf("second write: %+v, want a conflict", lost)
	}
	if winner := lost.Winner.Contract; winner.Limits.RequestsPerSecond != 20 || winner.Revision != 10 {
		t.Errorf("the conflict returns %+v, want the contract of the first write", winner)
	}
}

// The answer to a change is lost and the client retries it after another operator
// has changed the contract. Running it again would undo the other change or report
// a conflict for a change that was applied.
func TestRetryReturnsFirstResultUntilIDExpires(t *testing.T) {
	m, commands := seeded(t)
	first := commands[0]
	result, _ := m.Apply(10, first)
	if result.Code != state.CodeOK || result.Index != 1 {
		t.Errorf("retry: %+v, want the first result", result)
	}
	other := createContract("cascade", 99)
	other.OperationID = first.OperationID
	if result, _ := m.Apply(11, other); result.Code != state.CodeReused {
		t.Errorf("another command under the same id: %+v, want CodeReused", result)
	}
	// A command of a proposer whose clock is behind does not set the machine's clock back.
	expired := first
	expired.Time = first.Time + state.OperationAge.Milliseconds()
	if result, _ := m.Apply(12, expired); result.Code != state.CodeOK || result.Index != 1 {
		t.Errorf("identical contract: %+v, want CodeOK with the first index", result)
	}
	expired.PutContract = &state.PutContract{Contract: sampleContract("cascade", 77)}
	expired.OperationID = "fresh"
	if result, _ := m.Apply(13, expired); result.Code != state.CodeConflict {
		t.Errorf("expired retry with another body: %+v, want a conflict", result)
	}
	if want := time.UnixMilli(expired.Time).UTC(); !m.Clock().Equal(want) {
		t.Errorf("clock %s, want %s", m.Clock(), want)
	}
}

func TestCommandValidation(t *testing.T) {
	long := strings.Repeat("x", 200)
	cases := []struct {
		name    string
		command state.Command
		code    state.Code
	}{
		{"empty command", state.Command{}, state.CodeInvalid},
		{"long operation id", state.Command{OperationID: long, PutModel: &catalogue.Model{Name: "base"}}, state.CodeInvalid},
		{"revision of an unknown contract", state.Command{PutContract: &state.PutContract{Expected: 9, Contract: sampleContract("new", 1)}}, state.CodeConflict},
		{"key of another contract", createContract("thief", 1, keyHash(1)), state.CodeInvalid},
		{"key listed twice", createContract("twice", 1, keyHash(2), keyHash(2)), state.CodeInvalid},
		{"plain-text key", createContract("clear", 1, "secret"), state.CodeInvalid},
		{"rate of 0", createContract("rateless", 0), state.CodeInvalid},
		{"key for an unknown contract", state.Command{ChangeKeys: &state.ChangeKeys{Contract: "nobody", Add: keyHash(3)}}, state.CodeNotFound},
		{"rotate", state.Command{ChangeKeys: &state.ChangeKeys{Contract: "cascade", Add: keyHash(3), Remove: keyHash(1)}}, state.CodeOK},
		{"remove an unknown key", state.Command{ChangeKeys: &state.ChangeKeys{Contract: "cascade", Remove: keyHash(4)}}, state.CodeNotFound},
		{"same version, different weights", state.Command{PutAdapter: adapter("quote-draft@1", "store://2")}, state.CodeConflict},
		{"same version again", state.Command{PutAdapter: adapter("quote-draft@1", "store://1")}, state.CodeOK},
		{"unknown base model", state.Command{PutAdapter: &catalogue.Adapter{Ref: catalogue.Ref{Adapter: "a", Version: "1"}, BaseModel: "none", Source: "s"}}, state.CodeNotFound},
		{"retire an unknown adapter", state.Command{RetireAdapter: &state.RetireAdapter{Ref: catalogue.Ref{Adapter: "a", Version: "1"}}}, state.CodeNotFound},
		{"stale service revision", state.Command{PutService: &state.PutService{Service: catalogue.Service{Name: "dock", Routes: []catalogue.Route{{Method: "GET", PathPrefix: "/"}}}}}, state.CodeConflict},
		{"stale server revision", state.Command{PutServer: &state.PutServer{Server: state.Server{Name: "floor-1", Wanted: state.WantedServing}}}, state.CodeConflict},
		{"unknown wanted state", state.Command{PutServer: &state.PutServer{Server: state.Server{Name: "floor-2", Wanted: "gone"}}}, state.CodeInvalid},
		{"long server name", state.Command{PutServer: &state.PutServer{Server: state.Server{Name: long, Wanted: state.WantedServing}}}, state.CodeInvalid},
		{"fence without holder", state.Command{Fence: &state.Fence{Server: "floor-1"}}, state.CodeInvalid},
	}
	for _, c := range cases {
		m, _ := seeded(t)
		before := m.ConfigIndex()
		result, change := m.Apply(100, c.command)
		if result.Code != c.code {
			t.Errorf("%s: %+v, want %s", c.name, result, c.code)
		}
		if (change != nil) != (m.ConfigIndex() != before) {
			t.Errorf("%s: ConfigIndex must change if and only if a change is returned", c.name)
		}
	}
}

func TestRetiredObjectsKeepTheirNames(t *testing.T) {
	m, _ := seeded(t)
	retired := sampleContract("cascade", 10, keyHash(1))
	retired.Retired = true
	steps := []struct {
		command state.Command
		code    state.Code
	}{
		{state.Command{PutContract: &state.PutContract{Expected: 1, Contract: retired}}, state.CodeOK},
		{state.Command{PutContract: &state.PutContract{Expected: 20, Contract: sampleContract("cascade", 1)}}, state.CodeInvalid},
		{state.Command{ChangeKeys: &state.ChangeKeys{Contract: "cascade", Add: keyHash(9)}}, state.CodeInvalid},
		{createContract("successor", 1, keyHash(1)), state.CodeOK},
		{state.Command{RetireAdapter: &state.RetireAdapter{Ref: adapter("quote-draft@1", "").Ref}}, state.CodeOK},
		{state.Command{PutAdapter: adapter("quote-draft@1", "store://2")}, state.CodeConflict},
	}
	for i, step := range steps {
		if result, _ := m.Apply(uint64(20+i), step.command); result.Code != step.code {
			t.Errorf("step %d: %+v, want %s", i, result, step.code)
		}
	}
}

// reference is a reference model of the state: a plain map from an object's name
// to its text, with an independent implementation of the rules.
type reference struct {
	objects  map[string]string
	revision map[string]uint64
	fencing  map[string]uint64
	results  map[string]string
}

func (r *reference) put(key, text string, expected, index uint64) state.Code {
	if r.objects[key] == text {
		return state.CodeOK
	}
	if r.revision[key] != expected {
		return state.CodeConflict
	}
	r.objects[key], r.revision[key] = text, index
	return state.CodeOK
}

func (r *reference) apply(index uint64, c state.Command) state.Code {
	switch {
	case c.PutContract != nil:
		text := fmt.Sprint(c.PutContract.Contract.Limits.RequestsPerSecond)
		return r.put("contract/"+c.PutContract.Contract.ID, text, c.PutContract.Expected, index)
	case c.PutAdapter != nil:
		key := "adapter/" + c.PutAdapter.Ref.String()
		return r.put(key, c.PutAdapter.Source, r.revision["never"], index)
	case c.RetireAdapter != nil:
		key := "adapter/" + c.RetireAdapter.Ref.String()
		if _, exists := r.objects[key]; !exists {
			return state.CodeNotFound
		}
		r.objects[key] = "retired"
		return state.CodeOK
	case c.PutServer != nil:
		return r.put("server/"+c.PutServer.Server.Name, string(c.PutServer.Server.Wanted), c.PutServer.Expected, index)
	default:
		r.fencing[c.Fence.Server]++
		return state.CodeOK
	}
}

func drawCommand(t *rapid.T, r *reference) state.Command {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	revision := func(key string) uint64 {
		if rapid.Bool().Draw(t, "stale") {
			return rapid.Uint64Range(0, 5).Draw(t, "revision")
		}
		return r.revision[key]
	}
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		rate := float64(rapid.IntRange(1, 3).Draw(t, "rate"))
		return state.Command{PutContract: &state.PutContract{Expected: revision("contract/" + name), Contract: sampleContract(name, rate)}}
	case 1:
		return state.Command{PutAdapter: adapter(name+"@1", rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "source"))}
	case 2:
		return state.Command{RetireAdapter: &state.RetireAdapter{Ref: adapter(name+"@1", "").Ref}}
	case 3:
		wanted := rapid.SampledFrom([]state.Wanted{state.WantedServing, state.WantedDraining}).Draw(t, "wanted")
		return state.Command{PutServer: &state.PutServer{Expected: revision("server/" + name), Server: state.Server{Name: name, Wanted: wanted}}}
	default:
		return state.Command{Fence: &state.Fence{Server: name, Holder: "h"}}
	}
}

func (r *reference) check(t *rapid.T, m *state.Machine) {
	got := make(map[string]string)
	for _, c := range m.Contracts() {
		got["contract/"+c.ID] = fmt.Sprint(c.Limits.RequestsPerSecond)
	}
	for _, a := range m.Adapters() {
		text := a.Source
		if a.Retired {
			text = "retired"
		}
		got["adapter/"+a.Ref.String()] = text
	}
	for _, s := range m.Servers() {
		got["server/"+s.Name] = string(s.Wanted)
	}
	if fmt.Sprint(got) != fmt.Sprint(r.objects) {
		t.Fatalf("state %v, want %v", got, r.objects)
	}
	for server, number := range r.fencing {
		if f, _ := m.Fencing(server); f.Number != number {
			t.Fatalf("fencing of %s is %d, want %d", server, f.Number, number)
		}
	}
}

// After random commands, retries and restarts from a snapshot, the machine must
// match the reference model and encode to the same bytes as an instance that never
// restarted.
func TestMachineMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &reference{objects: map[string]string{}, revision: map[string]uint64{}, fencing: map[string]uint64{}, results: map[string]string{}}
		restarted, continuous := state.NewMachine(), state.NewMachine()
		model := state.Command{PutModel: &catalogue.Model{Name: "base"}}
		restarted.Apply(1, model)
		continuous.Apply(1, model)
		var sent []state.Command
		// frozen must not change while the machine applies further commands.
		frozen, frozenBytes := restarted.Freeze(), encoded(t, restarted)
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for index := uint64(2); index < uint64(steps)+2; index++ {
			command := drawCommand(t, r)
			command.OperationID = fmt.Sprint("op-", index)
			retry := len(sent) > 0 && rapid.IntRange(0, 3).Draw(t, "resend") == 0
			if retry {
				command = rapid.SampledFrom(sent).Draw(t, "again")
			}
			want := r.results[command.OperationID]
			if !retry {
				want = string(r.apply(index, command))
				r.results[command.OperationID] = want
				sent = append(sent, command)
			}
			result, _ := restarted.Apply(index, command)
			continuous.Apply(index, command)
			if string(result.Code) != want {
				t.Fatalf("%d: got %+v, want %s", index, result, want)
			}
			switch rapid.IntRange(0, 9).Draw(t, "interlude") {
			case 0:
				restarted = roundTrip(t, restarted)
			case 1:
				frozen, frozenBytes = restarted.Freeze(), encoded(t, restarted)
			}
		}
		r.check(t, restarted)
		if data, err := frozen.Encode(); err != nil || !bytes.Equal(data, frozenBytes) {
			t.Fatalf("frozen state changed, error %v", err)
		}
		if !bytes.Equal(encoded(t, restarted), encoded(t, continuous)) {
			t.Fatal("two instances with the same log encode to different bytes")
		}
	})
}

type fataler interface{ Fatal(...any) }

func encoded(t fataler, m *state.Machine) []byte {
	data, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func roundTrip(t fataler, m *state.Machine) *state.Machine {
	decoded, err := state.Decode(encoded(t, m))
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// A bit of the snapshot flips on disk or the file is truncated. Loading it would
// produce contracts that were never written.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	m, _ := seeded(t)
	data := encoded(t, m)
	for i := range data {
		damaged := slices.Clone(data)
		damaged[i] ^= 0x10
		if _, err := state.Decode(damaged); err == nil {
			t.Fatalf("snapshot with a flipped bit in byte %d was accepted", i)
		}
		if _, err := state.Decode(data[:i]); err == nil {
			t.Fatalf("snapshot truncated at byte %d was accepted", i)
		}
	}
}

func TestOperationTableIsBounded(t *testing.T) {
	m := state.NewMachine()
	for i := range state.MaxOperations {
		m.Apply(uint64(i+1), state.Command{OperationID: fmt.Sprint(i)})
	}
	result, _ := m.Apply(state.MaxOperations+1, state.Command{OperationID: "one more"})
	if result.Code != state.CodeFull {
		t.Errorf("one operation beyond the limit: %+v, want CodeFull", result)
	}
	result, _ = m.Apply(state.MaxOperations+2, state.Command{OperationID: "one more", Time: state.OperationAge.Milliseconds()})
	if result.Code != state.CodeInvalid {
		t.Errorf("after the others expired: %+v, want CodeInvalid for an empty command", result)
	}
}

func FuzzDecode(f *testing.F) {
	m, _ := seeded(f)
	f.Add(encoded(f, m))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := state.Decode(data)
		if err != nil {
			return
		}
		roundTrip(t, decoded)
	})
}

func FuzzDecodeCommand(f *testing.F) {
	_, commands := seeded(f)
	for _, command := range commands {
		data, err := command.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := state.DecodeCommand(data)
		if err != nil {
			return
		}
		m := state.NewMachine()
		m.Apply(1, command)
		roundTrip(t, m)
	})
}
