package follow

import (
	"fmt"
	"testing"
)

// A control instance that serves a ninth of all daemons is lost. If they all switched to the
// same other instance, it would carry twice its share at a critical moment.
func TestRendezvousOrderSpreadsLoad(t *testing.T) {
	peers := make([]string, 9)
	for i := range peers {
		peers[i] = fmt.Sprintf("10.0.0.%d:7201", i+1)
	}
	first, second := make(map[string]int), make(map[string]int)
	for i := range 970 {
		order := rendezvousOrder(fmt.Sprint("daemon-", i), peers)
		first[order[0]]++
		if order[0] == peers[3] {
			second[order[1]]++
		}
	}
	for _, peer := range peers {
		if n := first[peer]; n < 80 || n > 140 {
			t.Errorf("%s is followed by %d of 970", peer, n)
		}
		if n := second[peer]; peer != peers[3] && (n == 0 || n > 30) {
			t.Errorf("%s takes over %d", peer, n)
		}
	}
}
