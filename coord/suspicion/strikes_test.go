package suspicion

import (
	"testing"
	"time"
)

// One request crashes each server that runs it, and its caller sends it again
// and again. After the third server it must not reach another one; everyone
// else on those servers loses an answer each time.
func TestARequestIsHeldAfterThreeServers(t *testing.T) {
	s, now := NewStrikes(), time.Unix(1000, 0)
	for i, server := range []string{"a", "b", "b", "c"} {
		if s.Held(7, now) {
			t.Fatalf("it is held before strike %d", i)
		}
		if news := s.Take(Strike{7, server}, now); news != (i != 2) {
			t.Errorf("strike %d counts as news: %v", i, news)
		}
	}
	if !s.Held(7, now) || s.Held(8, now) {
		t.Error("after three servers the request should be held, and no other")
	}
	if s.Held(7, now.Add(strikeMemory)) {
		t.Error("it is held for good")
	}
}

func TestStrikesAreBounded(t *testing.T) {
	s, now := NewStrikes(), time.Unix(1000, 0)
	for i := range uint64(2 * maxStruck) {
		s.Take(Strike{i, "a"}, now)
	}
	if len(s.records) > maxStruck {
		t.Errorf("%d requests are remembered", len(s.records))
	}
	s.Take(Strike{1 << 40, "a"}, now.Add(strikeMemory))
	if len(s.records) != 1 {
		t.Errorf("%d requests are remembered after they have expired", len(s.records))
	}
}
