package roster

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a server that is listed by a late first announcement after its departure was acknowledged, and against one that is not listed although another incarnation has left.
func TestDepartureBeforeFirstAnnouncement(t *testing.T) {
	for _, test := range []struct {
		name     string
		known    []Server
		left     int64
		announce Server
		serves   bool
	}{
		{"unknown server", nil, 5, Server{Born: 5, Sequence: 1}, false},
		{"unknown server, an earlier incarnation is announced", nil, 5, Server{Born: 4, Sequence: 9}, false},
		{"unknown server, a later incarnation is announced", nil, 5, Server{Born: 6, Sequence: 1}, true},
		{"unknown server, no start time named", nil, 0, Server{Born: 5, Sequence: 1}, false},
		{"later incarnation than the known one", []Server{{Born: 3, Sequence: 4}}, 5, Server{Born: 5, Sequence: 1}, false},
		{"later incarnation, the earlier one is announced", []Server{{Born: 3, Sequence: 4}}, 5, Server{Born: 3, Sequence: 5}, false},
		{"later incarnation, one after it is announced", []Server{{Born: 3, Sequence: 4}}, 5, Server{Born: 6, Sequence: 1}, true},
		{"earlier incarnation than the known one", []Server{{Born: 5, Sequence: 4}}, 3, Server{Born: 5, Sequence: 5}, true},
		{"known incarnation, no start time named", []Server{{Born: 5, Sequence: 4}}, 0, Server{Born: 5, Sequence: 5}, false},
		{"known incarnation, no start time named, a later one is announced", []Server{{Born: 5, Sequence: 4}}, 0, Server{Born: 6, Sequence: 1}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := New()
			for _, s := range test.known {
				s.ID, s.Address = "s", "a:1"
				r.Apply(s, start)
			}
			r.Leave("s", test.left, start)
			test.announce.ID, test.announce.Address = "s", "a:1"
			r.Apply(test.announce, start.Add(time.Second))
			if serves := len(r.Serving()) == 1; serves != test.serves {
				t.Errorf("after the announcement it serves: %v, want %v", serves, test.serves)
			}
			if r.ApplyHeartbeat(Heartbeat{ID: "s", Born: test.announce.Born, Sequence: 20}, start.Add(2*time.Second)); len(r.Serving()) == 1 != test.serves {
				t.Errorf("after a heartbeat it serves: %v, want %v", !test.serves, test.serves)
			}
		})
	}
}

// Guards against a departure that makes another daemon forget the address, service or version of a server, by which it judges the server's streams and the next server at the address.
func TestDepartureOfUnknownServerKeepsDescription(t *testing.T) {
	teller, listener := New(), New()
	described := Server{ID: "s", Born: 5, Sequence: 3, Service: "x", Address: "a:1", Version: "v1"}
	listener.Apply(described, start)
	teller.Leave("s", 5, start)
	e, _ := teller.Get("s")
	if newest, material := listener.Apply(e.Aged(start), start); !newest || !material {
		t.Errorf("the departure is newest: %v, material: %v", newest, material)
	}
	got, _ := listener.Get("s")
	if !got.Gone || got.Address != described.Address || got.Service != described.Service || got.Version != described.Version {
		t.Errorf("the server is known as %+v", got.Server)
	}
}

// Guards against departures of unknown servers that are taken for incarnations at one address, of which only the latest counts.
func TestDeparturesOfUnknownServersAreIndependent(t *testing.T) {
	r, listener := New(), New()
	for born, id := range []string{"a", "b", "c"} {
		r.Leave(id, int64(9-born), start)
	}
	for _, e := range r.Since(0) {
		listener.Apply(e.Aged(start), start)
	}
	for _, id := range []string{"a", "b", "c"} {
		if e, known := listener.Get(id); !known || !e.Gone {
			t.Errorf("the departure of %s is known: %v", id, known)
		}
	}
}

// Guards against a draining server that is forgotten because a later one is known at its address, and listed again once that one has expired.
func TestDrainingServerBehindLaterOneIsRecorded(t *testing.T) {
	r := New()
	r.Apply(Server{ID: "new", Born: 2, Sequence: 1, Address: "a:1"}, start)
	r.Apply(Server{ID: "old", Born: 1, Sequence: 5, Address: "a:1", Leaving: true}, start)
	if e, known := r.Get("old"); !known || !e.Gone {
		t.Errorf("the draining server is known: %v, gone: %v", known, e.Gone)
	}
	if serving := r.Serving(); len(serving) != 1 || serving[0].ID != "new" {
		t.Errorf("serving are %v", serving)
	}
}

// Guards against a server that is listed after its departure, in whichever order its announcements and its departure arrive, at this daemon or over another one.
func TestNoOrderListsDepartedServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const incarnations = 3
		left := rapid.Int64Range(1, incarnations).Draw(t, "left")
		var arrivals []func(*Roster)
		for born := int64(1); born <= left; born++ {
			for sequence := int64(1); sequence <= 3; sequence++ {
				s := Server{ID: "s", Born: born, Sequence: sequence, Address: rapid.SampledFrom([]string{"a:1", "a:2"}).Draw(t, "address")}
				arrivals = append(arrivals, func(r *Roster) { r.Apply(s, start) })
			}
		}
		arrivals = append(arrivals, func(r *Roster) { r.Leave("s", left, start) })
		one, two := New(), New()
		for i, arrive := range rapid.Permutation(arrivals).Draw(t, "arrivals") {
			if rapid.Bool().Draw(t, "at the first") {
				arrive(one)
			} else {
				arrive(two)
			}
			if i%2 == 0 {
				exchange(one, two)
			}
		}
		exchange(one, two)
		for _, r := range []*Roster{one, two} {
			if slices.ContainsFunc(r.Serving(), func(e Entry) bool { return e.ID == "s" }) {
				t.Fatal("the server is listed after its departure")
			}
		}
	})
}

// exchange passes on to each of two rosters all that the other one knows.
func exchange(one, two *Roster) {
	for _, pair := range [][2]*Roster{{one, two}, {two, one}} {
		for _, e := range pair[0].Since(0) {
			pair[1].Apply(e.Aged(start), start)
		}
	}
}
