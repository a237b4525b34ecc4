package experiment

import (
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// Result contains the measurements of one run after the warm-up.
type Result struct {
	// StallP50 to StallP99 are quantiles, over all requests to engines, of the
	// time that a request waits for its adapter to be loaded.
	StallP50, StallP95, StallP99 time.Duration
	// Stalled is the share of requests that waited for an adapter.
	Stalled float64
	// StartP99 is the 99th percentile of the time from arrival to the start in the
	// batch, including stall and queueing.
	StartP99 time.Duration
	// Occupancy is the share of batch places that were used while a batch ran.
	Occupancy float64
	// LoadsPerRequest is the number of loads started at the weight store per
	// request.
	LoadsPerRequest float64
	// ServersInUse is the mean number of engines that ran a request within the
	// last 10 s.
	ServersInUse float64
	// Fairness is Jain's fairness index, over contracts, of the share of requests
	// that started within one second.
	Fairness float64
	// Requests is the number of requests to engines, Failed that of failed ones.
	Requests, Failed int
	// PrefixHits is the share of prompt blocks found in the engines' prefix
	// caches.
	PrefixHits float64
}

// meter collects the measurements of a run.
type meter struct {
	stalls, starts []time.Duration
	stalled        int
	requests       int
	failures       int
	blocks, hits   int
	inTime, total  [contracts]int
	loadsAtWarmUp  int
	warm           bool
	inUse, samples int
	trace          []arrival
}

// arrival is one request as recorded for Bound.
type arrival struct {
	ref    catalogue.Ref
	at     time.Duration
	length time.Duration
}

func newMeter() *meter { return &meter{} }

func (m *meter) recordArrival(_ *world, r *request) {
	m.trace = append(m.trace, arrival{ref: r.ref, at: r.arrived, length: r.length})
}

func (m *meter) started(w *world, r *request) {
	if r.service || r.arrived < warmUp {
		return
	}
	wait := w.at - r.arrived
	m.requests++
	m.total[r.contract]++
	if wait <= startTarget {
		m.inTime[r.contract]++
	}
	if r.stall > 0 {
		m.stalled++
	}
	m.stalls = append(m.stalls, r.stall)
	m.starts = append(m.starts, wait)
}

func (m *meter) failed(w *world, r *request) {
	if r.service || r.arrived < warmUp {
		return
	}
	m.requests++
	m.failures++
	m.total[r.contract]++
	m.stalls = append(m.stalls, w.at-r.arrived)
	m.starts = append(m.starts, w.at-r.arrived)
}

// inUseWithin is how recently an engine must have run a request to be in use.
const inUseWithin = 10 * time.Second

func (m *meter) sample(w *world) func() {
	return func() {
		if w.at < warmUp {
			return
		}
		if !m.warm {
			m.warm = true
			m.loadsAtWarmUp = w.store.started
		}
		m.samples++
		for _, s := range w.servers {
			if s.engine && (s.batch.running > 0 || s.batch.lastActive > 0 && w.at-s.batch.lastActive < inUseWithin) {
				m.inUse++
			}
		}
	}
}

func (m *meter) result(w *world) Result {
	var busy, filled float64
	for _, s := range w.servers {
		s.batch.account()
		if s.engine {
			busy += s.batch.busy
			filled += s.batch.filled
		}
	}
	m.countWaiting(w)
	hits := 0.0
	if m.blocks > 0 {
		hits = float64(m.hits) / float64(m.blocks)
	}
	return Result{
		StallP50:        quantile(m.stalls, 0.50),
		StallP95:        quantile(m.stalls, 0.95),
		StallP99:        quantile(m.stalls, 0.99),
		Stalled:         float64(m.stalled) / float64(m.requests),
		StartP99:        quantile(m.starts, 0.99),
		Occupancy:       filled / busy,
		LoadsPerRequest: float64(w.store.started-m.loadsAtWarmUp) / float64(m.requests),
		ServersInUse:    float64(m.inUse) / float64(m.samples),
		Fairness:        m.jain(),
		Requests:        m.requests,
		Failed:          m.failures,
		PrefixHits:      hits,
	}
}

// countWaiting includes the requests that are still waiting at the end of the run.
// If they were left out, the policy with the longest waits would get the best
// result.
func (m *meter) countWaiting(w *world) {
	for _, s := range w.servers {
		for _, waiting := range s.waiting {
			r := waiting.request
			if r.arrived < warmUp {
				continue
			}
			m.requests++
			m.stalled++
			m.total[r.contract]++
			m.stalls = append(m.stalls, r.stall+w.at-waiting.since)
			m.starts = append(m.starts, w.at-r.arrived)
		}
	}
}

func (m *meter) jain() float64 {
	var sum, squares float64
	n := 0
	for i, total := range m.total {
		if total == 0 {
			continue
		}
		x := float64(m.inTime[i]) / float64(total)
		sum += x
		squares += x * x
		n++
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(n) * squares)
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
