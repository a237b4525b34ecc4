package roster

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// A heartbeat hangs behind a partition while its sender crashes and another
// server registers at the address. When it arrives at last, requests must not
// go to a server that is no more.
func TestALateHeartbeatDoesNotBringADeadServerBack(t *testing.T) {
	r := New()
	r.Take(Server{ID: "old", Born: 100, Sequence: 3, Address: "a:1"}, start)
	r.Take(Server{ID: "new", Born: 200, Sequence: 1, Address: "a:1"}, start)
	if news, _ := r.Take(Server{ID: "old", Born: 100, Sequence: 4, Address: "a:1"}, start); news {
		e, _ := r.Get("old")
		if !e.Gone {
			t.Error("the late heartbeat brought the old server back")
		}
	}
	if serving := r.Serving(); len(serving) != 1 || serving[0].ID != "new" {
		t.Errorf("serving are %v, want the new server alone", serving)
	}
}

// The address may also be new to this daemon when the late heartbeat comes.
func TestALateHeartbeatOfAnUnknownServerIsNotTaken(t *testing.T) {
	r := New()
	r.Take(Server{ID: "new", Born: 200, Sequence: 1, Address: "a:1"}, start)
	if news, _ := r.Take(Server{ID: "old", Born: 100, Sequence: 9, Address: "a:1"}, start); news {
		t.Error("a server that was outlived at its address was taken")
	}
}

// A server says that it leaves, and a heartbeat that it sent before arrives
// behind that. Work that is sent to it after its notice would be cut off.
func TestLeavingIsFinalForAnIncarnation(t *testing.T) {
	r := New()
	r.Take(Server{ID: "s", Born: 1, Sequence: 5, Address: "a:1", Leaving: true}, start)
	r.Take(Server{ID: "s", Born: 1, Sequence: 4, Address: "a:1"}, start)
	r.Take(Server{ID: "s", Born: 1, Sequence: 6, Address: "a:1"}, start)
	if len(r.Serving()) != 0 {
		t.Error("a leaving server is served again")
	}
	r.Take(Server{ID: "s", Born: 2, Sequence: 1, Address: "a:1"}, start)
	if len(r.Serving()) != 1 {
		t.Error("the same id, born later, is not served")
	}
}

// Announcements reach daemons in any order. All that have heard the same must
// send requests to the same servers.
func TestTheOrderOfArrivalDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		announcements := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Server {
			return Server{
				ID: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), Born: rapid.Int64Range(1, 3).Draw(t, "born"),
				Sequence: rapid.Int64Range(1, 5).Draw(t, "sequence"), Address: "one:1",
			}
		}), 1, 8).Draw(t, "announcements")
		// What one incarnation says is the same wherever it is heard, and two
		// servers at one address have different births.
		for i := range announcements {
			s := &announcements[i]
			s.Born *= 2
			if s.ID == "b" {
				s.Born++
			}
		}
		shuffled := rapid.Permutation(announcements).Draw(t, "shuffled")
		one, two := New(), New()
		for _, s := range announcements {
			one.Take(s, start)
		}
		for _, s := range shuffled {
			two.Take(s, start)
		}
		first, second := one.Serving(), two.Serving()
		if len(first) != len(second) {
			t.Fatalf("serving are %v and %v", first, second)
		}
		for i := range first {
			if first[i].ID != second[i].ID || first[i].Born != second[i].Born {
				t.Fatalf("serving are %v and %v", first[i].Server, second[i].Server)
			}
		}
	})
}

func TestOnlyNewsAreListed(t *testing.T) {
	r := New()
	r.Take(Server{ID: "a", Born: 1, Sequence: 1, Address: "a:1"}, start)
	r.Take(Server{ID: "b", Born: 1, Sequence: 1, Address: "b:1"}, start)
	seen, material := r.Change(), r.Material()
	soon, later := start.Add(beatInterval-1), start.Add(beatInterval)
	if _, material := r.Take(Server{ID: "a", Born: 1, Sequence: 2, Address: "a:1"}, soon); material {
		t.Error("a heartbeat that says nothing new counts as material")
	}
	if changed := r.Since(seen); len(changed) != 0 {
		t.Errorf("a heartbeat soon after the one before is listed as news: %v", changed)
	}
	if e, _ := r.Get("a"); !e.Heard.Equal(soon) || e.Sequence != 2 {
		t.Errorf("the heartbeat left %+v, want it taken all the same", e)
	}
	r.Take(Server{ID: "a", Born: 1, Sequence: 3, Address: "a:1"}, later)
	changed := r.Since(seen)
	if len(changed) != 1 || changed[0].ID != "a" || changed[0].Material > seen {
		t.Errorf("since %d changed %v, want a's heartbeat, not material", seen, changed)
	}
	if r.Material() != material {
		t.Error("heartbeats moved the number of the last material change")
	}
	if server, known := r.Leave("b", later); !known || !server.Gone {
		t.Errorf("Leave gave %v, %v", server, known)
	}
	if changed = r.Since(seen + 1); len(changed) != 1 || changed[0].Material <= seen || r.Material() != r.Change() {
		t.Errorf("changed are %v, want b's leave, material", changed)
	}
}

// Other daemons hear of most heartbeats only that the server lives. That must
// keep it listed, and must neither revive an ended incarnation nor pass for an
// announcement of one that is not known.
func TestABeatKeepsAServerListed(t *testing.T) {
	r := New()
	r.Take(Server{ID: "a", Born: 2, Sequence: 4, Address: "a:1", ColdMillis: 3000}, start)
	now := start.Add(time.Second)
	tests := []struct {
		name     string
		beat     Beat
		missing  bool
		sequence int64
	}{
		{"a later one", Beat{ID: "a", Born: 2, Sequence: 5}, false, 5},
		{"a late one", Beat{ID: "a", Born: 2, Sequence: 3}, false, 5},
		{"of an earlier incarnation", Beat{ID: "a", Born: 1, Sequence: 9}, false, 5},
		{"of a later incarnation", Beat{ID: "a", Born: 3, Sequence: 1}, true, 5},
		{"of a server that is not known", Beat{ID: "b", Born: 1, Sequence: 1}, true, 5},
	}
	for _, test := range tests {
		if missing := r.Hear(test.beat, now); missing != test.missing {
			t.Errorf("%s: missing = %v", test.name, missing)
		}
		if e, _ := r.Get("a"); e.Sequence != test.sequence || e.Born != 2 {
			t.Errorf("%s left %+v", test.name, e)
		}
	}
	if e, _ := r.Get("a"); !e.Heard.Equal(now) || e.ColdMillis != 2000 {
		t.Errorf("the beat left %+v, want it heard now and cold for 2 s more", e)
	}
	r.Leave("a", now)
	r.Hear(Beat{ID: "a", Born: 2, Sequence: 8}, now)
	if len(r.Serving()) != 0 {
		t.Error("a beat brought back a server that had left")
	}
}

func TestAServerThatFellSilentIsAMaterialChange(t *testing.T) {
	r := New()
	r.Take(Server{ID: "a", Born: 1, Sequence: 1, Address: "a:1"}, start)
	before := r.Material()
	r.Expire(start, start.Add(time.Second))
	if len(r.Serving()) != 0 || r.Material() == before {
		t.Error("those who follow material changes still send to the silent server")
	}
}

func TestSilentServersAreForgotten(t *testing.T) {
	r := New()
	r.Take(Server{ID: "quiet", Born: 1, Address: "a:1"}, start)
	r.Take(Server{ID: "alive", Born: 1, Address: "b:1"}, start.Add(10*time.Second))
	r.Expire(start, start.Add(5*time.Second))
	if serving := r.Serving(); len(serving) != 1 || serving[0].ID != "alive" {
		t.Errorf("serving are %v, want the one that was heard", serving)
	}
}
