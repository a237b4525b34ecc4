package intake

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// limits are small ones, in bytes.
var limits = Limits{Total: 1000, Reserved: 250, Small: 50, Grace: time.Second, Rate: 100}

func (t *Table) grown(r *Request, size int64, now time.Time) bool {
	_, granted := t.Grow(r, size, now)
	return granted
}

// Guards against bytes that are charged and not given back, or given back twice, and against a total above the limit: a
// process would refuse all callers for good, or run out of memory.
func TestWhatIsHeldStaysBelowLimitAndIsGivenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := New(limits), start
		var open []*Request
		whole := make(map[*Request]bool)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "millis")) * time.Millisecond)
			if len(open) == 0 || rapid.IntRange(0, 3).Draw(t, "action") == 0 {
				open = append(open, table.Begin(now))
				continue
			}
			at := rapid.IntRange(0, len(open)-1).Draw(t, "request")
			r := open[at]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				table.Release(r)
				open = append(open[:at], open[at+1:]...)
			case 1:
				if table.Complete(r, r.held-int64(rapid.IntRange(0, 10).Draw(t, "less"))) {
					whole[r] = true
				}
			default:
				victims, _ := table.Grow(r, r.held+int64(rapid.IntRange(1, 400).Draw(t, "more")), now)
				table.Receive(r, int64(rapid.IntRange(0, 100).Draw(t, "received")))
				for _, victim := range victims {
					if whole[victim] || victim == r {
						t.Fatal("a whole request was given up, or the one that grows")
					}
				}
			}
			checkSums(t, table, open)
		}
		for _, r := range open {
			table.Release(r)
			table.Release(r)
		}
		if table.held != 0 || table.heldLarge != 0 || len(table.growing) != 0 {
			t.Fatalf("held %d and %d, %d growing after all were released", table.held, table.heldLarge, len(table.growing))
		}
	})
}

// checkSums checks what a table holds against a sum over its requests.
func checkSums(t *rapid.T, table *Table, open []*Request) {
	var held, large int64
	for _, r := range open {
		held += r.held
		if r.held > limits.Small {
			large += r.held
		}
		if r.givenUp && r.held != 0 {
			t.Fatal("a request that was given up holds bytes")
		}
	}
	if held != table.held || large != table.heldLarge {
		t.Fatalf("held %d and %d, want %d and %d", table.held, table.heldLarge, held, large)
	}
	if held > limits.Total {
		t.Fatalf("%d bytes are held, the limit is %d", held, limits.Total)
	}
}

// Guards against requests that fill the memory with their first parts, so that none becomes whole: however their parts
// arrive, one that fits alone is whole in the end.
func TestOneOfManyRequestsBecomesWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(DefaultLimits(1 << 20))
		size := int64(rapid.IntRange(1, int(table.Limits().LargestBody())).Draw(t, "size"))
		var reading []*Request
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			reading = append(reading, table.Begin(start))
		}
		for len(reading) > 0 {
			at := rapid.IntRange(0, len(reading)-1).Draw(t, "next")
			r := reading[at]
			if r.held >= size {
				return
			}
			next := NextBuffer(r.held, size)
			if next <= r.held {
				t.Fatalf("a buffer of %d bytes follows one of %d", next, r.held)
			}
			if !table.grown(r, r.held+next, start) {
				table.Release(r)
				reading = append(reading[:at], reading[at+1:]...)
				continue
			}
			table.Shrink(r, next)
		}
		t.Fatal("each of the requests was refused")
	})
}

// Guards against buffers that waste memory: each is at most twice the one before, and the last has the size of the request.
func TestBuffersEndAtTheSizeOfTheRequest(t *testing.T) {
	for _, size := range []int64{1, 100, 4096, 4097, 9000, 1 << 20, 4<<20 + 1} {
		for full := int64(0); full < size; {
			next := NextBuffer(full, size)
			if next <= full || next > size || full > 0 && next > 2*full+1 {
				t.Fatalf("size %d: a buffer of %d bytes follows one of %d", size, next, full)
			}
			full = next
		}
	}
}

// Guards against callers that stop within their requests and keep others out, and against slow callers that are given up
// although there is room.
func TestStalledRequestsGiveWayOnlyUnderPressure(t *testing.T) {
	table := New(limits)
	stalled, slow := table.Begin(start), table.Begin(start)
	if !table.grown(stalled, 400, start) || !table.grown(slow, 300, start) {
		t.Fatal("there is room for both")
	}
	table.Receive(slow, 300)
	later := start.Add(3 * time.Second)
	if !table.Complete(table.Begin(later), 0) || stalled.givenUp {
		t.Fatal("a request was given up while there was room")
	}
	newcomer := table.Begin(later)
	victims, granted := table.Grow(newcomer, 300, later)
	if !granted || len(victims) != 1 || victims[0] != stalled {
		t.Fatalf("granted %v, gave up %d; want the room of the stalled request", granted, len(victims))
	}
	if table.grown(stalled, 500, later) || table.Complete(stalled, 400) {
		t.Error("a request that was given up goes on")
	}
	if _, granted := table.Grow(table.Begin(later), 400, later); granted || slow.givenUp {
		t.Error("a request that moves was given up")
	}
}

// Guards against callers that hold their place by a byte now and then: what counts is the rate since their begin.
func TestTrickleDoesNotKeepItsPlace(t *testing.T) {
	table, now := New(limits), start
	trickle := table.Begin(start)
	table.grown(trickle, 700, start)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		table.Receive(trickle, 1)
	}
	if !table.grown(table.Begin(now), 500, now) || !trickle.givenUp {
		t.Error("a request that receives ten bytes a second kept its place")
	}
}

// Guards against requests that keep a connection without moving, and against one that moves and loses it.
func TestSlowestIsGivenUp(t *testing.T) {
	table := New(limits)
	silent, moving := table.Begin(start), table.Begin(start)
	table.Receive(moving, 1000)
	if table.GiveUpSlowest(start) != nil {
		t.Error("a request was given up that has just begun")
	}
	later := start.Add(5 * time.Second)
	if table.GiveUpSlowest(later) != silent || table.GiveUpSlowest(later) != nil || moving.givenUp {
		t.Error("the silent request alone must be given up")
	}
}

// Guards against small requests that wait behind large ones, whole or not.
func TestSmallRequestsHaveRoomBesideLargeOnes(t *testing.T) {
	table := New(limits)
	for range 3 {
		large := table.Begin(start)
		if !table.grown(large, 250, start) || !table.Complete(large, 250) {
			t.Fatal("there is room for three")
		}
	}
	if table.grown(table.Begin(start), 60, start) {
		t.Error("a large request took the room of small ones")
	}
	for range 5 {
		if !table.grown(table.Begin(start), 50, start) {
			t.Fatal("a small request was refused")
		}
	}
}

// Guards against requests that are given up in vain, as their room is not enough for the one that needs it.
func TestNoneIsGivenUpInVain(t *testing.T) {
	table := New(limits)
	whole, stalled := table.Begin(start), table.Begin(start)
	table.grown(whole, 500, start)
	table.Complete(whole, 500)
	table.grown(stalled, 200, start)
	later := start.Add(time.Minute)
	if table.grown(table.Begin(later), 400, later) || stalled.givenUp {
		t.Error("the stalled request was given up though its room is not enough")
	}
}
