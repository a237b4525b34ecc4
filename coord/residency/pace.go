package residency

import (
	"math"
	"time"
)

// pacer spreads the prompts that an engine reads (prefill). An engine reads
// prompts in chunks between the decoding steps of its other requests; several
// long prompts at once lengthen the pauses of all streams on it: answers that
// were fluent halt for a third of a second.
//
// Prompts are started no faster than a share of the engine's read rate. The
// rate is estimated from prompts that were read alone, and until there are
// enough of these from all prompts that were read back to back. While the rate
// is unknown, prompts are not delayed: after a restart there are no streams to
// interrupt, and many callers wait for their first event.
type pacer struct {
	fit fit
	// busySince is when the engine began to read prompts after a pause, and
	// busyRead the tokens that it has read since. busyRate is the resulting rate
	// in tokens per millisecond; 0 while unknown.
	busySince time.Time
	busyRead  int
	busyRate  float64
	// readUntil is when the engine will have read all started prompts at the
	// paced rate.
	readUntil time.Time
}

const (
	// minBusyTokens is how many tokens must have been read without a pause before
	// they give a rate, and busyWeight is the weight of the newest such rate.
	minBusyTokens = 2000
	busyWeight    = 0.3
	// minReadShare is the share of the read rate that prompts may take while the
	// backlog is small. With a share r taken, a pause of three steps of s ms
	// lasts at most 3s/(1-r) ms: 0.7 keeps steps of 12 to 20 ms within 200 ms.
	minReadShare = 0.7
	// backlogLow and backlogHigh are the backlogs between which the share rises
	// to the maximum that streams tolerate.
	backlogLow  = 300 * time.Millisecond
	backlogHigh = 1200 * time.Millisecond
	// burst is how far ahead of the pace a prompt may start: reading it begins
	// with the step in progress.
	burst = 15 * time.Millisecond
	// minRate and maxRate bound the estimated rate, in tokens per millisecond.
	minRate = 2.0
	maxRate = 200.0
)

// fit estimates the time to read a prompt as a constant plus a time per token,
// by least squares over samples with exponentially decaying weights.
type fit struct {
	weight, n, t, nn, nt float64
}

const (
	// decay is the factor by which each new sample reduces the weight of the
	// older ones: about fifty samples determine the fit.
	decay = 0.98
	// minSpread is the standard deviation of prompt sizes, in tokens, below which
	// samples cannot separate the constant from the rate.
	minSpread = 150.0
	// minWeight is the total sample weight from which the fit is used.
	minWeight = 6.0
)

func (f *fit) add(tokens int, took time.Duration) {
	n, t := float64(tokens), float64(took)/float64(time.Millisecond)
	f.weight = f.weight*decay + 1
	f.n = f.n*decay + n
	f.t = f.t*decay + t
	f.nn = f.nn*decay + n*n
	f.nt = f.nt*decay + n*t
}

// constant returns the part of a prompt's time that does not depend on its tokens; 0
// while unknown.
func (f *fit) constant() time.Duration {
	rate := f.rate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(max(f.t/f.weight-f.n/f.weight/rate, 0) * float64(time.Millisecond))
}

// rate returns the rate in tokens per millisecond; 0 while unknown.
func (f *fit) rate() float64 {
	if f.weight < minWeight {
		return 0
	}
	meanN, meanT := f.n/f.weight, f.t/f.weight
	variance := f.nn/f.weight - meanN*meanN
	slope := (f.nt/f.weight - meanN*meanT) / max(variance, 1)
	if variance < minSpread*minSpread || slope <= 0 {
		return 0
	}
	return min(max(1/slope, minRate), maxRate)
}

// rate returns the rate in tokens per millisecond; 0 while unknown.
func (p *pacer) rate() float64 {
	if rate := p.fit.rate(); rate > 0 {
		return rate
	}
	return p.busyRate
}

// cost returns the time to read a prompt at the given share of the rate, 0
// while the rate is unknown.
func (p *pacer) cost(prompt int, share float64) time.Duration {
	rate := p.rate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(prompt) / (rate * share) * float64(time.Millisecond))
}

// readTime returns the time from the start of a prompt that is read alone to its
// first event, at baseline speed; 0 until the fit separates the rate from the constant,
// which dominates the time of short prompts.
func (p *pacer) readTime(prompt int) time.Duration {
	if p.fit.rate() <= 0 {
		return 0
	}
	return p.cost(prompt, 1) + p.fit.constant()
}

const (
	// minReadRatio and maxReadRatio bound a sample of the reading time as a multiple
	// of the fitted time, so that a phase which the correction missed has little effect
	// on the fit. A lasting change takes some hundred samples.
	minReadRatio = 0.6
	maxReadRatio = 1.25
)

// clampReadTime bounds a sample of the time in which a prompt was read.
func (p *pacer) clampReadTime(prompt int, took time.Duration) time.Duration {
	if expected := p.readTime(prompt); expected > 0 {
		return min(max(took, scaled(expected, minReadRatio)), scaled(expected, maxReadRatio))
	}
	return took
}

// recordRead records that a prompt was read during the current busy period. factor is
// the multiple of its baseline time that work took.
func (p *pacer) recordRead(prompt int, factor float64, now time.Time) {
	p.busyRead += prompt
	took := float64(now.Sub(p.busySince)) / float64(time.Millisecond) / factor
	if p.busyRead < minBusyTokens || took <= 0 {
		return
	}
	rate := min(max(float64(p.busyRead)/took, minRate), maxRate)
	if p.busyRate == 0 {
		p.busyRate = rate
		return
	}
	p.busyRate += busyWeight * (rate - p.busyRate)
}

// retained returns what remains valid after a restart of the engine: it runs on
// the same machine.
func (p *pacer) retained() pacer { return pacer{fit: p.fit, busyRate: p.busyRate} }

// nextStart returns when the next prompt may start.
func (p *pacer) nextStart() time.Time { return p.readUntil.Add(-burst) }

func (p *pacer) start(prompt int, share, factor float64, now time.Time) {
	if p.readUntil.Before(now) {
		p.readUntil = now
	}
	p.readUntil = p.readUntil.Add(scaled(p.cost(prompt, share), factor))
}

// share returns the share of the read rate that prompts may take now.
func (t *Table) share() float64 {
	var backlog time.Duration
	for i := range t.waiting {
		backlog += t.pacer.cost(t.waiting[i].Prompt, minReadShare)
	}
	fraction := float64(backlog-backlogLow) / float64(backlogHigh-backlogLow)
	return minReadShare + (t.pauses.maxShare()-minReadShare)*min(max(fraction, 0), 1)
}

// Ranks is the number of ranks that Delay distinguishes.
const Ranks = 3

// Delay returns how long a request of each rank that arrived now would wait for its
// start at the current speed, not counting its adapter's load. The last entry applies
// to all higher ranks. Requests that wait for a load to begin are not counted: they do
// not delay requests whose adapter is loaded, and while the store is slow there are
// many.
func (t *Table) Delay(now time.Time) [Ranks]time.Duration { return t.delayUpTo(math.MaxInt, now) }

// delayUpTo is like Delay for a request of the given level; requests of higher levels wait
// behind it and are not counted.
func (t *Table) delayUpTo(level int, now time.Time) [Ranks]time.Duration {
	var delay [Ranks]time.Duration
	var ahead [Ranks]int
	wait, share, factor := max(t.pacer.nextStart().Sub(now), 0), t.share(), t.publishedFactor(now)
	for rank := range delay {
		delay[rank] = wait
	}
	for i := range t.waiting {
		if name := t.waiting[i].Adapter; name != "" && !t.expects(name, now) || t.waiting[i].level() > level {
			continue
		}
		cost := scaled(t.pacer.cost(t.waiting[i].Prompt, share), factor)
		for rank := min(t.waiting[i].Rank, Ranks-1); rank < Ranks; rank++ {
			delay[rank] += cost
			ahead[rank]++
		}
	}
	for rank := range delay {
		delay[rank] = max(delay[rank], t.placeDelay(ahead[rank]))
	}
	return delay
}

// PromptCost returns how long the start of a prompt of 1,000 tokens delays
// other starts at the current speed.
func (t *Table) PromptCost(now time.Time) time.Duration {
	return scaled(t.pacer.cost(1000, t.share()), t.publishedFactor(now))
}

// Next returns when Tick could start a waiting request; zero when none waits.
func (t *Table) Next() time.Time {
	if len(t.waiting) == 0 {
		return time.Time{}
	}
	return t.pacer.nextStart()
}

// FirstEvent records that a started request has produced its first event, which
// means that its prompt is read.
func (t *Table) FirstEvent(id string, now time.Time) {
	s, ok := t.started[id]
	if !ok || s.prefilled {
		return
	}
	s.prefilled, s.seen = true, true
	factor := t.speed.IndependentFactor(now)
	t.pacer.recordRead(s.prompt, factor, now)
	if s.alone {
		took := scaled(now.Sub(s.at), 1/factor)
		if _, known := t.speed.Age(now); known {
			took = t.pacer.clampReadTime(s.prompt, took)
		}
		t.pacer.fit.add(s.prompt, took)
	}
	t.markRead(s, now)
}

// reading reports whether a started prompt is still being read.
func (t *Table) reading() bool {
	for _, s := range t.started {
		if !s.prefilled {
			return true
		}
	}
	return false
}

// clearAlone marks the prompts that are being read as not read alone.
func (t *Table) clearAlone() {
	for _, s := range t.started {
		if !s.prefilled {
			s.alone = false
		}
	}
}
