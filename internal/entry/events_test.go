package entry

import (
	"math/rand/v2"
	"strings"
	"testing"
)

// Events arrive cut at any byte, with any of the three ends of a line. Nothing may
// be lost or moved, and what is passed on must end with an event.
func TestEventsArePassedOnWhole(t *testing.T) {
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
				t.Fatalf("%q: passed on %q, held %q", line, passed, b.pending)
			}
		}
	}
}

// An event that is longer than what is held back is passed on in parts.
func TestALongEventIsNotHeldForEver(t *testing.T) {
	var b eventBuffer
	stream := "data: " + strings.Repeat("x", 3*maxPendingEvent) + "\n\ndata: y"
	passed := ""
	for at := 0; at < len(stream); at += 1000 {
		passed += string(b.add([]byte(stream[at:min(len(stream), at+1000)])))
		if len(b.pending) > maxPendingEvent {
			t.Fatalf("%d bytes are held", len(b.pending))
		}
		if at == 2*maxPendingEvent && !b.partial {
			t.Error("a half event that was passed on is not known as such")
		}
	}
	if passed+string(b.pending) != stream || string(b.pending) != "data: y" || b.partial {
		t.Errorf("held %q, within %v", b.pending, b.partial)
	}
}

// The end of a long event arrives in two parts, around the point up to which it was
// passed on.
func TestTheEndOfALongEventIsFound(t *testing.T) {
	for _, end := range []string{"\n\n", "\r\n\r\n", "\r\r"} {
		for at := range len(end) + 1 {
			var b eventBuffer
			long := "data: " + strings.Repeat("x", 2*maxPendingEvent)
			passed := string(b.add([]byte(long + end[:at])))
			passed += string(b.add([]byte(end[at:])))
			if b.partial || passed != long+end {
				t.Errorf("%q at %d: held %q, within %v", end, at, b.pending, b.partial)
			}
		}
	}
}
