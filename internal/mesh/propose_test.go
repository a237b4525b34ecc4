package mesh

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/rosemarypass/rosemarypass/coord/document"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
)

// Guards against an operator that gets no answer for a change that is in force, because each try goes through the log again while that is slow.
func TestChangeInForceIsAcknowledgedWithoutLog(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.configure = func(m *Mesh) { m.quorumWait = quorumWait }
	for i := range f.nodes {
		f.start(i, true)
	}
	f.put(3, 7)
	announce := document.Command{AdapterVersion: &document.AdapterVersion{Adapter: "m/a", Version: 4}}
	eventually(t, func() bool { return f.nodes[3].Propose(t.Context(), announce) == nil })
	for i := range f.nodes {
		eventually(t, func() bool {
			state := f.nodes[i].Documents().Current().State
			return state.Version == 7 && state.Adapters["m/a"] == 4
		})
	}
	// Without two of three members nothing can be committed.
	f.stop(1)
	f.stop(2)
	for _, i := range []int{0, 3} {
		for name, command := range map[string]document.Command{
			"the same change":    {Put: &document.Put{Version: 7, Body: json.RawMessage(`{"Version":7}`)}},
			"an older change":    {Put: &document.Put{Version: 6, Body: json.RawMessage(`{"Version":6}`)}},
			"the same version":   announce,
			"an earlier version": {AdapterVersion: &document.AdapterVersion{Adapter: "m/a", Version: 3}},
		} {
			if err := f.nodes[i].Propose(t.Context(), command); err != nil {
				t.Errorf("process %d does not acknowledge %s: %v", i, name, err)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		if f.nodes[i].Propose(ctx, document.Command{Put: &document.Put{Version: 8, Body: json.RawMessage(`{"Version":8}`)}}) == nil {
			t.Errorf("process %d acknowledges a change that nothing can commit", i)
		}
	}
}

// Guards against an operator that gets no answer for a change that comes into force while the answer of the log is lost.
func TestChangeThatComesIntoForceIsAcknowledged(t *testing.T) {
	f := newFleet(t, 1, 1)
	answered := make(chan struct{})
	f.handlers = func(m *Mesh, handlers map[string]rpc.Handler) {
		propose, ok := handlers[methodPropose]
		if !ok {
			return
		}
		handlers[methodPropose] = func(ctx context.Context, params json.RawMessage) (any, error) {
			result, err := propose(ctx, params)
			<-answered
			return result, err
		}
	}
	f.configure = func(m *Mesh) { m.forwardTimeout, m.quorumWait = time.Minute, quorumWait }
	for i := range f.nodes {
		f.start(i, true)
	}
	t.Cleanup(func() { close(answered) })
	f.put(0, 1)
	eventually(t, func() bool { return f.nodes[1].Documents().Current().State.Version == 1 })
	for version := uint64(2); version < 5; version++ {
		body := fmt.Sprintf(`{"Version":%d}`, version)
		if err := f.nodes[1].Propose(t.Context(), document.Command{Put: &document.Put{Version: version, Body: []byte(body)}}); err != nil {
			t.Errorf("version %d is not acknowledged, in force is %d: %v", version, f.nodes[1].Documents().Current().State.Version, err)
		}
	}
}

// changeOf returns a configuration of some bytes, of which packing leaves about half.
func changeOf(version uint64, bytes int) []byte {
	filler := make([]byte, bytes/2)
	random := rand.NewChaCha8([32]byte{byte(version)})
	_, _ = random.Read(filler)
	return fmt.Appendf(nil, `{"Version":%d,"Filler":"%s"}`, version, hex.EncodeToString(filler))
}

// slowLink is the rate, in bytes per second, of a link of 7.5 Mbit/s.
const slowLink = 7_500_000 / 8

// Guards against a large configuration that crosses a slow link to the log in more time than a try has, so that each try begins anew and none arrives.
func TestLargeChangeCrossesSlowLink(t *testing.T) {
	for name, slow := range map[string]int{"to the log": 0, "within the log": 1} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, 1)
			f.links = map[int]rate.Limit{slow: slowLink}
			for i := range f.nodes {
				f.start(i, true)
			}
			f.put(0, 1)
			eventually(t, func() bool {
				return f.voters(0) == 2 && f.nodes[2].Documents().Current().State.Version == 1
			})
			put := document.Command{Put: &document.Put{Version: 2, Body: changeOf(2, 2<<20)}}
			eventually(t, func() bool { return f.nodes[2].Propose(t.Context(), put) == nil })
			for i := range f.nodes {
				eventually(t, func() bool { return f.nodes[i].Documents().Current().State.Version == 2 })
			}
		})
	}
}

// Guards against an upgrade during which processes of the version before are sent packed changes, which they cannot read.
func TestPackedChangeIsSentOnlyToThoseThatReadIt(t *testing.T) {
	f := startFleet(t, 1, 1)
	f.put(0, 1)
	member := f.addresses[0]
	eventually(t, func() bool { return f.nodes[1].unpacks(member) })
	large, small := changeOf(2, 2*minPackedBody), changeOf(2, minPackedBody/2)
	for _, test := range []struct {
		name    string
		unpacks bool
		data    []byte
		packed  bool
	}{
		{"large, to a process that unpacks", true, large, true},
		{"small, to a process that unpacks", true, small, false},
		{"large, to a process that does not", false, large, false},
	} {
		f.nodes[1].mu.Lock()
		f.nodes[1].peers[member].process.Unpacks = test.unpacks
		f.nodes[1].mu.Unlock()
		message := f.nodes[1].proposalTo(member, test.data, func() []byte { return deflate(test.data) })
		if packed := message.Packed != nil; packed != test.packed || packed == (message.Command != nil) {
			t.Errorf("%s: packed is %v", test.name, packed)
		}
		if data, err := message.data(); err != nil || !bytes.Equal(data, test.data) {
			t.Errorf("%s: it arrives changed, %v", test.name, err)
		}
	}
}

// Guards against a process whose memory is filled by changes that wait for a log that does not answer.
func TestProposalsInProgressAreBounded(t *testing.T) {
	m := New(Options{}, NewDocuments(decode, zap.NewNop()), zap.NewNop())
	begun := 0
	for m.beginProposal(4 << 20) {
		begun++
	}
	if begun != maxProposing/(4<<20) {
		t.Errorf("%d changes of 4 MiB are proposed at once", begun)
	}
	m.endProposal(4 << 20)
	if !m.beginProposal(4 << 20) {
		t.Error("an ended proposal leaves no room for another")
	}
}
