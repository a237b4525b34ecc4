package dispatch

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"
)

// drawCandidate draws a server that reports no factor. All values have few distinct levels, so that ties occur too.
func drawCandidate(random *rand.Rand, i int) Candidate {
	var h Health
	now := time.Unix(1000, 0)
	for range random.IntN(12) {
		switch {
		case random.IntN(6) > 0:
			h.Answered(time.Duration(1+random.IntN(400))*time.Millisecond, 0)
		case random.IntN(3) > 0:
			h.Failed(now)
		default:
			h.Unreachable(now)
		}
		now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	c := Candidate{
		ID: fmt.Sprint("s", i), DataCentre: fmt.Sprint("d", random.IntN(2)), Residence: Residence(random.IntN(4)),
		Answer: h.Answer(), FailureShare: h.FailureShare(now), InBackoff: h.InBackoff(now), Connected: random.IntN(2) > 0, Due: random.IntN(20) == 0,
		Age: time.Duration(random.IntN(2000)) * time.Millisecond, Silent: random.IntN(20) == 0, Model: random.IntN(10) > 0, Excluded: random.IntN(20) == 0,
		WarmUp: time.Duration(max(random.IntN(200)-180, 0)) * time.Millisecond,
	}
	l := Load{
		Running: random.IntN(60), Waiting: random.IntN(10), Batch: 48, Tokens: random.IntN(100_000), MemoryTokens: 90_000,
		PromptTime: time.Duration(random.IntN(100)) * time.Millisecond, PlaceTime: time.Duration(random.IntN(50)) * time.Millisecond,
		SlotDelay: time.Duration(random.IntN(3)*200) * time.Millisecond, LoadTime: 280 * time.Millisecond,
	}
	for range random.IntN(4) {
		l.Delay = append(l.Delay, time.Duration(random.IntN(10)*40)*time.Millisecond)
	}
	c.SetLoad(&l, Sent{Starts: random.IntN(3), Prompt: random.IntN(4000)}, random.IntN(4))
	return c
}

// Guards against decisions that change where no server reports a factor: the digest is that of the decisions at
// d1ea191, before servers' factors were read. It was computed on amd64; a machine that fuses multiplications and
// additions may round otherwise.
func TestDecisionsWithoutFactorAreUnchanged(t *testing.T) {
	const want = uint64(0x923b07b07e0989af)
	random := rand.New(rand.NewPCG(1, 2))
	digest := fnv.New64a()
	add := func(values ...int64) {
		for _, v := range values {
			_ = binary.Write(digest, binary.LittleEndian, v)
		}
	}
	for range 4000 {
		candidates := make([]Candidate, 1+random.IntN(40))
		for i := range candidates {
			candidates[i] = drawCandidate(random, i)
		}
		r := Request{
			DataCentre: "d0", Tokens: random.IntN(6000), Rank: random.IntN(4), Target: time.Duration(random.IntN(4)*500) * time.Millisecond,
			Spent: time.Duration(random.IntN(900)) * time.Millisecond, Left: time.Duration(random.IntN(3)*900) * time.Millisecond, Tried: map[string]bool{"s0": random.IntN(3) == 0},
		}
		if random.IntN(3) > 0 {
			r.Adapter = fmt.Sprint("m/a", random.IntN(50))
		}
		r.Prompt = r.Tokens / 2
		choice := Pick(candidates, r, random.Float64)
		add(int64(choice.Index), int64(choice.MaxDelay))
		if choice.Index < 0 {
			continue
		}
		c, left := &candidates[choice.Index], time.Duration(random.IntN(2000))*time.Millisecond
		var offers Offers
		for range random.IntN(6) {
			offers.Declined()
		}
		conditions := offers.Conditions(choice, c, left)
		wait, hopeless := offers.Hopeless(c, &r, left)
		add(int64(conditions.MaxDelay), int64(wait), int64(offers.Wait(c, &r, left)))
		if hopeless {
			add(1)
		}
	}
	if got := digest.Sum64(); got != want {
		t.Errorf("the digest of the decisions is %#x, want %#x", got, want)
	}
}
