package roster

import (
	"testing"
	"time"
)

// Guards against an announcement that was sent before a moment and that counts as news from after it, because it was passed on slowly.
func TestArrivalOfPassedOnAnnouncements(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	server := func(sequence int64, version string) Server {
		return Server{ID: "a", Born: 1, Sequence: sequence, Address: "x:1", Version: version}
	}
	first, second := New(), New()
	first.Apply(server(1, "v1"), at(0))
	first.Apply(server(2, "v1"), at(400))
	e, _ := first.Get("a")
	if !e.LastHeard.Equal(at(400)) || !e.HeardBefore.Equal(at(0)) {
		t.Errorf("the first daemon heard it at %v, and before at %v", e.LastHeard, e.HeardBefore)
	}
	// It is passed on late.
	second.Apply(e.Aged(at(900)), at(900))
	if passed, _ := second.Get("a"); !passed.LastHeard.Equal(at(400)) || !passed.HeardBefore.Equal(at(0)) || passed.Ages != (Ages{}) {
		t.Errorf("the second daemon takes it to have arrived at %v, and before at %v", passed.LastHeard, passed.HeardBefore)
	}
	first.Apply(server(3, "v1"), at(1000))
	e, _ = first.Get("a")
	second.ApplyHeartbeat(e.Heartbeat(at(1300)), at(1300))
	if passed, _ := second.Get("a"); !passed.LastHeard.Equal(at(1000)) || !passed.HeardBefore.Equal(at(400)) {
		t.Errorf("after a heartbeat the second daemon takes it to have arrived at %v, and before at %v", passed.LastHeard, passed.HeardBefore)
	}
	for name, changed := range map[string]Server{"another version": server(4, "v2"), "another incarnation": {ID: "a", Born: 2, Sequence: 1, Address: "x:1", Version: "v1"}} {
		r := New()
		r.Apply(server(1, "v1"), at(0))
		r.Apply(changed, at(100))
		if e, _ := r.Get("a"); !e.HeardBefore.IsZero() {
			t.Errorf("%s: an earlier announcement counts, which arrived at %v", name, e.HeardBefore)
		}
	}
}
