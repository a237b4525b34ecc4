package wire_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

func delta(servers int) membership.Delta {
	d := membership.NewDirectory(membership.Options{Lease: time.Second}, 1, time.Unix(1, 0))
	for i := range servers {
		_ = d.Announce(membership.Announcement{
			Server: fmt.Sprint("dabke-llm-", i), Kind: membership.KindEngine, Address: fmt.Sprint("10.0.1.", i, ":7100"),
			DataCentre: "amman-a", Incarnation: 1_796_000_000_000_000_000, Sequence: 12,
			Load: membership.Load{Running: i % 40, Capacity: 64, Resident: []catalogue.Ref{{Adapter: "a", Version: "1"}}},
		}, time.Unix(1, 0))
	}
	return d.Delta(0, 0, time.Unix(1, 0))
}

func TestPackRoundTrip(t *testing.T) {
	want := delta(3)
	data, err := wire.Pack(want)
	if err != nil {
		t.Fatal(err)
	}
	var got membership.Delta
	if err := wire.Unpack(data, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func FuzzUnpack(f *testing.F) {
	data, _ := wire.Pack(delta(2))
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var d membership.Delta
		_ = wire.Unpack(data, &d)
		var changes []state.Change
		_ = wire.Unpack(data, &changes)
	})
}
