package residency

import "time"

// pace spreads the prompts that an engine reads. An engine reads prompts in
// pieces between the tokens of its other requests; several long ones at once
// stretch every pause of every stream there. Callers would notice halts of a
// third of a second in the middle of fluent answers.
//
// Prompts are started no faster than a share of the engine's reading rate,
// which is learned from prompts that were read alone, and until there are enough
// of these from all that it read without a pause. Before anything is known
// prompts are not held up: after a restart there are no streams to halt, and
// many callers wait for their first event.
type pace struct {
	fit fit
	// busySince is when the engine began to read prompts, behind a pause, and
	// busyRead the tokens that it has read since. busyRate is what that gave, in
	// tokens a millisecond; 0 while unknown.
	busySince time.Time
	busyRead  int
	busyRate  float64
	// readUntil is when the prompts that were started will have been read at
	// the paced rate.
	readUntil time.Time
}

const (
	// leastBusy is how many tokens must have been read without a pause before they
	// tell a rate, and busyWeight the weight of the newest such rate.
	leastBusy  = 2000
	busyWeight = 0.3
	// readShare is the share of the rate that prompts may take while little
	// waits. With r of it taken, a pause of three steps of s ms lasts 3s/(1-r) ms
	// at most: 0.7 keeps steps of 12 to 20 ms within 200 ms.
	readShare = 0.7
	// rushFrom and rushBy are the waits between which the share rises to the most
	// that streams bear.
	rushFrom = 300 * time.Millisecond
	rushBy   = 1200 * time.Millisecond
	// burst may be started beyond the pace: the reading of a prompt begins with
	// the step that is under way.
	burst = 15 * time.Millisecond
	// slowest and fastest bound the rate that samples may claim.
	slowest = 2.0
	fastest = 200.0
)

// fit estimates how long a prompt takes as a constant and a time a token, by
// least squares over samples whose weights fade.
type fit struct {
	weight, n, t, nn, nt float64
}

const (
	// fade is what is left of a sample's weight with each newer one: some fifty
	// samples decide.
	fade = 0.98
	// leastSpread is the spread of prompt sizes, in tokens, below which samples
	// cannot tell the constant from the rate.
	leastSpread = 150.0
	// leastSamples is the weight from which the fit counts.
	leastSamples = 6.0
)

func (f *fit) add(tokens int, took time.Duration) {
	n, t := float64(tokens), float64(took)/float64(time.Millisecond)
	f.weight = f.weight*fade + 1
	f.n = f.n*fade + n
	f.t = f.t*fade + t
	f.nn = f.nn*fade + n*n
	f.nt = f.nt*fade + n*t
}

// rate is in tokens a millisecond; 0 while unknown.
func (f *fit) rate() float64 {
	if f.weight < leastSamples {
		return 0
	}
	meanN, meanT := f.n/f.weight, f.t/f.weight
	variance := f.nn/f.weight - meanN*meanN
	slope := (f.nt/f.weight - meanN*meanT) / max(variance, 1)
	if variance < leastSpread*leastSpread || slope <= 0 {
		return 0
	}
	return min(max(1/slope, slowest), fastest)
}

// rate is in tokens a millisecond; 0 while unknown.
func (p *pace) rate() float64 {
	if rate := p.fit.rate(); rate > 0 {
		return rate
	}
	return p.busyRate
}

// cost is how long a prompt takes at the paced rate, 0 while that is unknown.
func (p *pace) cost(prompt int, share float64) time.Duration {
	rate := p.rate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(prompt) / (rate * share) * float64(time.Millisecond))
}

// read counts a prompt that was read while the engine was busy with prompts.
func (p *pace) read(prompt int, now time.Time) {
	p.busyRead += prompt
	took := float64(now.Sub(p.busySince)) / float64(time.Millisecond)
	if p.busyRead < leastBusy || took <= 0 {
		return
	}
	rate := min(max(float64(p.busyRead)/took, slowest), fastest)
	if p.busyRate == 0 {
		p.busyRate = rate
		return
	}
	p.busyRate += busyWeight * (rate - p.busyRate)
}

// kept is what stays known when the engine restarts: it is the same machine.
func (p *pace) kept() pace { return pace{fit: p.fit, busyRate: p.busyRate} }

// opens is when the next prompt may start.
func (p *pace) opens() time.Time { return p.readUntil.Add(-burst) }

func (p *pace) start(prompt int, share float64, now time.Time) {
	if p.readUntil.Before(now) {
		p.readUntil = now
	}
	p.readUntil = p.readUntil.Add(p.cost(prompt, share))
}

// share is the part of the reading rate that prompts may take now.
func (t *Table) share() float64 {
	var backlog time.Duration
	for i := range t.waiting {
		backlog += t.pace.cost(t.unread(&t.waiting[i]), readShare)
	}
	rush := float64(backlog-rushFrom) / float64(rushBy-rushFrom)
	return readShare + (t.pauses.most()-readShare)*min(max(rush, 0), 1)
}

// Ranks is how many ranks Delay tells apart.
const Ranks = 3

// Delay is how long a request of each rank that came now would wait for its
// start, apart from its adapter. The last one holds for all higher ranks.
func (t *Table) Delay(now time.Time) [Ranks]time.Duration {
	var delay [Ranks]time.Duration
	opens, share := max(t.pace.opens().Sub(now), 0), t.share()
	for rank := range delay {
		delay[rank] = opens
	}
	for i := range t.waiting {
		cost := t.pace.cost(t.unread(&t.waiting[i]), share)
		for rank := min(t.waiting[i].Rank, Ranks-1); rank < Ranks; rank++ {
			delay[rank] += cost
		}
	}
	return delay
}

// PromptCost is how long the start of a prompt of 1,000 tokens keeps others
// from starting.
func (t *Table) PromptCost() time.Duration { return t.pace.cost(1000, t.share()) }

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
	t.keep(s)
	t.pace.read(s.prompt, now)
	if s.alone {
		t.pace.fit.add(s.prompt, now.Sub(s.at))
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
