package roster

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// A heartbeat is delayed by a partition while its sender crashes and another
// server registers at the address. When the heartbeat arrives, requests must not
// go to the server that has crashed.
func TestLateHeartbeatDoesNotReviveServer(t *testing.T) {
	r := New()
	r.Apply(Server{ID: "old", Born: 100, Sequence: 3, Address: "a:1"}, start)
	r.Apply(Server{ID: "new", Born: 200, Sequence: 1, Address: "a:1"}, start)
	if newest, _ := r.Apply(Server{ID: "old", Born: 100, Sequence: 4, Address: "a:1"}, start); newest {
		e, _ := r.Get("old")
		if !e.Gone {
			t.Error("the late heartbeat revived the old server")
		}
	}
	if serving := r.Serving(); len(serving) != 1 || serving[0].ID != "new" {
		t.Errorf("serving are %v, want the new server alone", serving)
	}
}

// The daemon does not know the old server at the address when the late heartbeat
// arrives.
func TestLateHeartbeatOfUnknownServerIsIgnored(t *testing.T) {
	r := New()
	r.Apply(Server{ID: "new", Born: 200, Sequence: 1, Address: "a:1"}, start)
	if newest, _ := r.Apply(Server{ID: "old", Born: 100, Sequence: 9, Address: "a:1"}, start); newest {
		t.Error("a server that was superseded at its address was accepted")
	}
}

// A server announces that it is leaving, and a heartbeat that it sent earlier
// arrives afterwards. Work that is sent to it after its notice would be aborted.
func TestLeavingIsFinalForIncarnation(t *testing.T) {
	r := New()
	r.Apply(Server{ID: "s", Born: 1, Sequence: 5, Address: "a:1", Leaving: true}, start)
	r.Apply(Server{ID: "s", Born: 1, Sequence: 4, Address: "a:1"}, start)
	r.Apply(Server{ID: "s", Born: 1, Sequence: 6, Address: "a:1"}, start)
	if len(r.Serving()) != 0 {
		t.Error("a leaving server is served again")
	}
	r.Apply(Server{ID: "s", Born: 2, Sequence: 1, Address: "a:1"}, start)
	if len(r.Serving()) != 1 {
		t.Error("the same ID with a later start time is not served")
	}
}

// Announcements reach daemons in any order. All daemons that have received the
// same announcements must send requests to the same servers.
func TestArrivalOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		announcements := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Server {
			return Server{
				ID: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), Born: rapid.Int64Range(1, 3).Draw(t, "born"),
				Sequence: rapid.Int64Range(1, 5).Draw(t, "sequence"), Address: "one:1",
			}
		}), 1, 8).Draw(t, "announcements")
		// An incarnation's announcement is the same at every daemon, and two
		// servers at one address have different start times.
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
			one.Apply(s, start)
		}
		for _, s := range shuffled {
			two.Apply(s, start)
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

func TestSinceListsOnlyChanges(t *testing.T) {
	r := New()
	r.Apply(Server{ID: "a", Born: 1, Sequence: 1, Address: "a:1"}, start)
	r.Apply(Server{ID: "b", Born: 1, Sequence: 1, Address: "b:1"}, start)
	seen, material := r.Change(), r.Material()
	soon, later := start.Add(heartbeatInterval-1), start.Add(heartbeatInterval)
	if _, material := r.Apply(Server{ID: "a", Born: 1, Sequence: 2, Address: "a:1"}, soon); material {
		t.Error("an announcement of an unchanged server counts as material")
	}
	if changed := r.Since(seen); len(changed) != 0 {
		t.Errorf("a heartbeat soon after the previous one is listed as a change: %v", changed)
	}
	if e, _ := r.Get("a"); !e.LastHeard.Equal(soon) || e.Sequence != 2 {
		t.Errorf("after the heartbeat: %+v, want it applied nevertheless", e)
	}
	r.Apply(Server{ID: "a", Born: 1, Sequence: 3, Address: "a:1"}, later)
	changed := r.Since(seen)
	if len(changed) != 1 || changed[0].ID != "a" || changed[0].Material > seen {
		t.Errorf("since %d changed %v, want a's heartbeat, not material", seen, changed)
	}
	if r.Material() != material {
		t.Error("heartbeats changed the number of the last material change")
	}
	left := r.Leave("b", 1, later)
	if server, known := r.Get("b"); !left || !known || !server.Gone {
		t.Errorf("Leave returned %v, the server is %v", left, server)
	}
	if changed = r.Since(seen + 1); len(changed) != 1 || changed[0].Material <= seen || r.Material() != r.Change() {
		t.Errorf("changed are %v, want the material change of b leaving", changed)
	}
}

// Most heartbeats reach other daemons only as a Heartbeat. It must keep the server
// listed, must not revive a terminated incarnation, and must not count as the
// announcement of an unknown one.
func TestHeartbeatKeepsServerListed(t *testing.T) {
	r := New()
	r.Apply(Server{ID: "a", Born: 2, Sequence: 4, Address: "a:1", ColdMillis: 3000}, start)
	now := start.Add(time.Second)
	tests := []struct {
		name     string
		beat     Heartbeat
		missing  bool
		sequence int64
	}{
		{"newer", Heartbeat{ID: "a", Born: 2, Sequence: 5}, false, 5},
		{"delayed", Heartbeat{ID: "a", Born: 2, Sequence: 3}, false, 5},
		{"of an earlier incarnation", Heartbeat{ID: "a", Born: 1, Sequence: 9}, false, 5},
		{"of a later incarnation", Heartbeat{ID: "a", Born: 3, Sequence: 1}, true, 5},
		{"of an unknown server", Heartbeat{ID: "b", Born: 1, Sequence: 1}, true, 5},
	}
	for _, test := range tests {
		if missing := r.ApplyHeartbeat(test.beat, now); missing != test.missing {
			t.Errorf("%s: missing = %v", test.name, missing)
		}
		if e, _ := r.Get("a"); e.Sequence != test.sequence || e.Born != 2 {
			t.Errorf("%s: entry is %+v", test.name, e)
		}
	}
	if e, _ := r.Get("a"); !e.LastHeard.Equal(now) || e.ColdMillis != 2000 {
		t.Errorf("after the heartbeat: %+v, want it heard now and cold for 2 s more", e)
	}
	r.Leave("a", 2, now)
	r.ApplyHeartbeat(Heartbeat{ID: "a", Born: 2, Sequence: 8}, now)
	if len(r.Serving()) != 0 {
		t.Error("a heartbeat revived a server that had left")
	}
}

func TestExpiryIsMaterialChange(t *testing.T) {
	r := New()
	r.Apply(Server{ID: "a", Born: 1, Sequence: 1, Address: "a:1"}, start)
	before := r.Material()
	r.Expire(start, start.Add(time.Second))
	if len(r.Serving()) != 0 || r.Material() == before {
		t.Error("the expiry of a silent server is not a material change")
	}
}

func TestSilentServersExpire(t *testing.T) {
	r := New()
	r.Apply(Server{ID: "quiet", Born: 1, Address: "a:1"}, start)
	r.Apply(Server{ID: "alive", Born: 1, Address: "b:1"}, start.Add(10*time.Second))
	r.Expire(start, start.Add(5*time.Second))
	if serving := r.Serving(); len(serving) != 1 || serving[0].ID != "alive" {
		t.Errorf("serving are %v, want only the server that was heard", serving)
	}
}
