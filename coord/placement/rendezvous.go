package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// choices is how many servers of an adapter's rendezvous order are considered.
const choices = 4

// rendezvous holds the first servers of an adapter's order (highest random
// weight hashing). All viewers compute the same order, and a server that joins
// or leaves moves only its own adapters.
type rendezvous struct {
	servers [choices]int32
	weights [choices]uint64
	n       int
}

func refHash(ref catalogue.Ref) uint64 {
	return xxhash.Sum64String(ref.Adapter) ^ mix(xxhash.Sum64String(ref.Version))
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func (r *rendezvous) offer(server int32, weight uint64) {
	at := r.n
	for at > 0 && weight > r.weights[at-1] {
		at--
	}
	if at == choices {
		return
	}
	if r.n < choices {
		r.n++
	}
	copy(r.servers[at+1:r.n], r.servers[at:r.n-1])
	copy(r.weights[at+1:r.n], r.weights[at:r.n-1])
	r.servers[at], r.weights[at] = server, weight
}

func (r *rendezvous) position(server int32) int {
	for i := range r.n {
		if r.servers[i] == server {
			return i
		}
	}
	return choices
}
