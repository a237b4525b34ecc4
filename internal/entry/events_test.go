package entry

import (
	"math/rand/v2"
	"strings"
	"testing"
)

// Events arrive split at any byte, with any of the three line endings. No byte may
// be lost or reordered, and the bytes passed on must end with a complete event.
func TestOnlyCompleteEventsArePassedOn(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, line := range []string{"\n", "\r\n", "\r"} {
		event := "id: 1" + line + "data: word" + line + line
		stream := strings.Repeat(event, 40)
		for range 200 {
			var b eventBuffer
			passed := ""
			for at := 0; at < len(stream); {
				next := min(len(stream), at+1+random.IntN(2*len(event)))
				passed += string(b.add([]byte(stream[at:next])))
				if at = next; len(passed)%len(event) != 0 || b.partial {
					t.Fatalf("%q: passed on up to %q", line, passed)
				}
			}
			if passed+string(b.pending) != stream || len(b.pending) != 0 {
				t.Fatalf("%q: passed on %q, pending %q", line, passed, b.pending)
			}
		}
	}
}

// An event that exceeds the buffer limit is passed on in parts.
func TestLongEventIsPassedOnInParts(t *testing.T) {
	var b eventBuffer
	stream := "data: " + strings.Repeat("x", 3*maxPendingEvent) + "\n\ndata: y"
	passed := ""
	for at := 0; at < len(stream); at += 1000 {
		passed += string(b.add([]byte(stream[at:min(len(stream), at+1000)])))
		if len(b.pending) > maxPendingEvent {
			t.Fatalf("%d bytes are pending", len(b.pending))
		}
		if at == 2*maxPendingEvent && !b.partial {
			t.Error("partial is not set after a part of an event was passed on")
		}
	}
	if passed+string(b.pending) != stream || string(b.pending) != "data: y" || b.partial {
		t.Errorf("pending %q, partial %v", b.pending, b.partial)
	}
}

// The terminator of a long event arrives in two parts, around the point up to which
// the event was passed on.
func TestTerminatorOfLongEventIsFound(t *testing.T) {
	for _, end := range []string{"\n\n", "\r\n\r\n", "\r\r"} {
		for at := range len(end) + 1 {
			var b eventBuffer
			long := "data: " + strings.Repeat("x", 2*maxPendingEvent)
			passed := string(b.add([]byte(long + end[:at])))
			passed += string(b.add([]byte(end[at:])))
			if b.partial || passed != long+end {
				t.Errorf("%q at %d: pending %q, partial %v", end, at, b.pending, b.partial)
			}
		}
	}
}
