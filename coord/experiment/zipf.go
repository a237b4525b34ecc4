package experiment

import (
	"math"
	"math/rand/v2"
	"sort"
)

// zipf draws adapters with Zipf-distributed popularity.
type zipf struct {
	cumulative []float64
	order      []int
	random     *rand.Rand
}

func newZipf(n int, exponent float64, random *rand.Rand) *zipf {
	z := &zipf{order: random.Perm(n), random: random, cumulative: make([]float64, n)}
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -exponent)
		z.cumulative[i] = total
	}
	return z
}

func (z *zipf) draw(random *rand.Rand) int {
	at := random.Float64() * z.cumulative[len(z.cumulative)-1]
	return z.order[min(sort.SearchFloat64s(z.cumulative, at), len(z.order)-1)]
}

func (z *zipf) shuffle() { z.order = z.random.Perm(len(z.order)) }
