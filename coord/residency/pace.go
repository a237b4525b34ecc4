package residency

import "time"

// pace spreads the prompts that an engine reads. An engine reads prompts in
// pieces between the tokens of its other requests; several long ones at once
// stretch every pause of every stream there. Callers would notice halts of a
// third of a second in the middle of fluent answers.
//
// Prompts are started no faster than a share of the engine's reading rate,
// which is learned from prompts that were read alone.
type pace struct {
	// rate is in tokens a millisecond.
	rate    float64
	samples int
	// readUntil is when the prompts that were started will have been read at
	// the paced rate.
	readUntil time.Time
}

const (
	// initialRate stands until an engine's own rate is known: half of what
	// today's accelerators read, so that a first guess does not halt streams.
	initialRate = 10
	// readShare is the share of the rate that prompts may take. With r of it
	// taken, a pause of three steps of s ms lasts 3s/(1-r) ms at most: 0.7
	// keeps steps of 12 to 20 ms within 200 ms.
	readShare = 0.7
	// burst may be started beyond the pace, so that a lone caller never waits
	// for a rounding of it.
	burst = 40 * time.Millisecond
	// leastSample is the size of a prompt that tells the rate: shorter ones
	// take as long as the steps around them.
	leastSample = 1000
	// sampleWeight is the weight of the newest sample.
	sampleWeight = 0.2
	// slowest and fastest bound what a sample may claim.
	slowest = 1.0
	fastest = 200.0
)

func newPace() pace { return pace{rate: initialRate} }

// cost is how long a prompt takes at the paced rate.
func (p *pace) cost(prompt int) time.Duration {
	return time.Duration(float64(prompt) / (p.rate * readShare) * float64(time.Millisecond))
}

// opens is when the next prompt may start.
func (p *pace) opens() time.Time { return p.readUntil.Add(-burst) }

func (p *pace) start(prompt int, now time.Time) {
	if p.readUntil.Before(now) {
		p.readUntil = now
	}
	p.readUntil = p.readUntil.Add(p.cost(prompt))
}

// read records that a prompt that was read alone took some time.
func (p *pace) read(prompt int, took time.Duration) {
	if prompt < leastSample || took <= 0 {
		return
	}
	rate := float64(prompt) / (float64(took) / float64(time.Millisecond))
	rate = min(max(rate, slowest), fastest)
	p.samples++
	weight := max(sampleWeight, 1/float64(p.samples))
	p.rate += weight * (rate - p.rate)
}

// Delay is how long a request that came now would wait for its start, apart
// from its adapter.
func (t *Table) Delay(now time.Time) time.Duration {
	delay := max(t.pace.opens().Sub(now), 0)
	for i := range t.waiting {
		delay += t.pace.cost(t.waiting[i].Prompt)
	}
	return delay
}

// PromptCost is how long the start of a prompt of 1,000 tokens keeps others
// from starting.
func (t *Table) PromptCost() time.Duration { return t.pace.cost(1000) }

// Next is when Tick could start a request that waits for its turn; zero when
// none does.
func (t *Table) Next() time.Time {
	if len(t.waiting) == 0 {
		return time.Time{}
	}
	return t.pace.opens()
}

// Begun tells that a started request has produced its first event: its prompt
// is read.
func (t *Table) Begun(id string, now time.Time) {
	s, ok := t.started[id]
	if !ok || s.begun {
		return
	}
	s.begun, s.seen = true, true
	if s.alone {
		t.pace.read(s.prompt, now.Sub(s.at))
	}
}

// reading is true while another started prompt is being read.
func (t *Table) reading() bool {
	for _, s := range t.started {
		if !s.begun {
			return true
		}
	}
	return false
}

// disturb marks the prompts that are being read as not read alone.
func (t *Table) disturb() {
	for _, s := range t.started {
		if !s.begun {
			s.alone = false
		}
	}
}
