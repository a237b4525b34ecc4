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

// seeded returns a machine with one of every object, and its commands.
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

// Two operators read the same revision and both write. Without the check the
// second would undo the first one's change unseen.
func TestOfTwoRacingWritersOneWinsAndTheOtherSeesTheWinner(t *testing.T) {
	m, _ := seeded(t)
	read, _ := m.Contract("cascade")
	first := state.Command{PutContract: &state.PutContract{Expected: read.Revision, Contract: sampleContract("cascade", 20)}}
	second := state.Command{PutContract: &state.PutContract{Expected: read.Revision, Contract: sampleContract("cascade", 30)}}
	if won, change := m.Apply(10, first); won.Code != state.CodeOK || change.Contract.Revision != 10 {
		t.Fatalf("first: %+v", won)
	}
	lost, change := m.Apply(11, second)
	if lost.Code != state.CodeConflict || change != nil {
		t.Fatalf("second: %+v", lost)
	}
	if winner := lost.Winner.Contract; winner.Limits.RequestsPerSecond != 20 || winner.Revision != 10 {
		t.Errorf("the loser sees %+v", winner)
	}
}

// The answer to a change is lost and the operator's tool sends it again, after
// another operator has changed the contract once more. Running it twice would
// undo the other's change, or report a conflict for a change that took place.
func TestResendReturnsTheFirstResultUntilItsIDExpires(t *testing.T) {
	m, commands := seeded(t)
	first := commands[0]
	result, _ := m.Apply(10, first)
	if result.Code != state.CodeOK || result.Index != 1 {
		t.Errorf("resend: %+v", result)
	}
	other := createContract("cascade", 99)
	other.OperationID = first.OperationID
	if result, _ := m.Apply(11, other); result.Code != state.CodeReused {
		t.Errorf("another command under the same id: %+v", result)
	}
	// A proposer whose clock is behind does not turn the machine's back.
	late := first
	late.Time = first.Time + state.OperationAge.Milliseconds()
	if result, _ := m.Apply(12, late); result.Code != state.CodeOK || result.Index != 1 {
		t.Errorf("an identical contract: %+v", result)
	}
	late.PutContract = &state.PutContract{Contract: sampleContract("cascade", 77)}
	late.OperationID = "fresh"
	if result, _ := m.Apply(13, late); result.Code != state.CodeConflict {
		t.Errorf("an expired resend with another body: %+v", result)
	}
	if want := time.UnixMilli(late.Time).UTC(); !m.Clock().Equal(want) {
		t.Errorf("clock %s, want %s", m.Clock(), want)
	}
}

func TestRules(t *testing.T) {
	long := strings.Repeat("x", 200)
	cases := []struct {
		name    string
		command state.Command
		code    state.Code
	}{
		{"empty command", state.Command{}, state.CodeInvalid},
		{"long operation id", state.Command{OperationID: long, PutModel: &catalogue.Model{Name: "base"}}, state.CodeInvalid},
		{"unknown contract's revision", state.Command{PutContract: &state.PutContract{Expected: 9, Contract: sampleContract("new", 1)}}, state.CodeConflict},
		{"key of another contract", createContract("thief", 1, keyHash(1)), state.CodeInvalid},
		{"key listed twice", createContract("twice", 1, keyHash(2), keyHash(2)), state.CodeInvalid},
		{"key in the clear", createContract("clear", 1, "secret"), state.CodeInvalid},
		{"no rate", createContract("rateless", 0), state.CodeInvalid},
		{"key for no contract", state.Command{ChangeKeys: &state.ChangeKeys{Contract: "nobody", Add: keyHash(3)}}, state.CodeNotFound},
		{"rotate", state.Command{ChangeKeys: &state.ChangeKeys{Contract: "cascade", Add: keyHash(3), Remove: keyHash(1)}}, state.CodeOK},
		{"remove an unknown key", state.Command{ChangeKeys: &state.ChangeKeys{Contract: "cascade", Remove: keyHash(4)}}, state.CodeNotFound},
		{"same version, other weights", state.Command{PutAdapter: adapter("quote-draft@1", "store://2")}, state.CodeConflict},
		{"same version again", state.Command{PutAdapter: adapter("quote-draft@1", "store://1")}, state.CodeOK},
		{"no such model", state.Command{PutAdapter: &catalogue.Adapter{Ref: catalogue.Ref{Adapter: "a", Version: "1"}, BaseModel: "none", Source: "s"}}, state.CodeNotFound},
		{"retire an unknown adapter", state.Command{RetireAdapter: &state.RetireAdapter{Ref: catalogue.Ref{Adapter: "a", Version: "1"}}}, state.CodeNotFound},
		{"stale service", state.Command{PutService: &state.PutService{Service: catalogue.Service{Name: "dock", Routes: []catalogue.Route{{Method: "GET", PathPrefix: "/"}}}}}, state.CodeConflict},
		{"stale server", state.Command{PutServer: &state.PutServer{Server: state.Server{Name: "floor-1", Wanted: state.WantedServing}}}, state.CodeConflict},
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
			t.Errorf("%s: the feed's index must move exactly with a change", c.name)
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

// naive is the state as a plain map from an object's name to its text, with
// the rules written out once more.
type naive struct {
	objects  map[string]string
	revision map[string]uint64
	fencing  map[string]uint64
	results  map[string]string
}

func (n *naive) put(key, text string, expected, index uint64) state.Code {
	if n.objects[key] == text {
		return state.CodeOK
	}
	if n.revision[key] != expected {
		return state.CodeConflict
	}
	n.objects[key], n.revision[key] = text, index
	return state.CodeOK
}

func (n *naive) apply(index uint64, c state.Command) state.Code {
	switch {
	case c.PutContract != nil:
		text := fmt.Sprint(c.PutContract.Contract.Limits.RequestsPerSecond)
		return n.put("contract/"+c.PutContract.Contract.ID, text, c.PutContract.Expected, index)
	case c.PutAdapter != nil:
		key := "adapter/" + c.PutAdapter.Ref.String()
		return n.put(key, c.PutAdapter.Source, n.revision["never"], index)
	case c.RetireAdapter != nil:
		key := "adapter/" + c.RetireAdapter.Ref.String()
		if _, exists := n.objects[key]; !exists {
			return state.CodeNotFound
		}
		n.objects[key] = "retired"
		return state.CodeOK
	case c.PutServer != nil:
		return n.put("server/"+c.PutServer.Server.Name, string(c.PutServer.Server.Wanted), c.PutServer.Expected, index)
	default:
		n.fencing[c.Fence.Server]++
		return state.CodeOK
	}
}

func drawCommand(t *rapid.T, n *naive) state.Command {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	revision := func(key string) uint64 {
		if rapid.Bool().Draw(t, "stale") {
			return rapid.Uint64Range(0, 5).Draw(t, "revision")
		}
		return n.revision[key]
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

func (n *naive) check(t *rapid.T, m *state.Machine) {
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
	if fmt.Sprint(got) != fmt.Sprint(n.objects) {
		t.Fatalf("state %v, want %v", got, n.objects)
	}
	for server, number := range n.fencing {
		if f, _ := m.Fencing(server); f.Number != number {
			t.Fatalf("fencing of %s is %d, want %d", server, f.Number, number)
		}
	}
}

// Random commands, resends and restarts from a snapshot must leave what a
// plain map holds, and the same bytes on an instance that never restarted.
func TestMachineAgreesWithANaiveMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &naive{objects: map[string]string{}, revision: map[string]uint64{}, fencing: map[string]uint64{}, results: map[string]string{}}
		restarted, steady := state.NewMachine(), state.NewMachine()
		model := state.Command{PutModel: &catalogue.Model{Name: "base"}}
		restarted.Apply(1, model)
		steady.Apply(1, model)
		var sent []state.Command
		// frozen must stay as it was although the machine goes on.
		frozen, frozenBytes := restarted.Freeze(), encoded(t, restarted)
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for index := uint64(2); index < uint64(steps)+2; index++ {
			command := drawCommand(t, n)
			command.OperationID = fmt.Sprint("op-", index)
			resend := len(sent) > 0 && rapid.IntRange(0, 3).Draw(t, "resend") == 0
			if resend {
				command = rapid.SampledFrom(sent).Draw(t, "again")
			}
			want := n.results[command.OperationID]
			if !resend {
				want = string(n.apply(index, command))
				n.results[command.OperationID] = want
				sent = append(sent, command)
			}
			result, _ := restarted.Apply(index, command)
			steady.Apply(index, command)
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
		n.check(t, restarted)
		if data, err := frozen.Encode(); err != nil || !bytes.Equal(data, frozenBytes) {
			t.Fatalf("a frozen state changed, %v", err)
		}
		if !bytes.Equal(encoded(t, restarted), encoded(t, steady)) {
			t.Fatal("two instances with the same log hold different bytes")
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

// A bit flips on the disk or the file is cut. Loading it would bring back
// contracts that nobody wrote.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	m, _ := seeded(t)
	whole := encoded(t, m)
	for i := range whole {
		damaged := slices.Clone(whole)
		damaged[i] ^= 0x10
		if _, err := state.Decode(damaged); err == nil {
			t.Fatalf("a flipped bit in byte %d was taken", i)
		}
		if _, err := state.Decode(whole[:i]); err == nil {
			t.Fatalf("a snapshot cut at byte %d was taken", i)
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
		t.Errorf("%+v", result)
	}
	result, _ = m.Apply(state.MaxOperations+2, state.Command{OperationID: "one more", Time: state.OperationAge.Milliseconds()})
	if result.Code != state.CodeInvalid {
		t.Errorf("after the others expired: %+v", result)
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
