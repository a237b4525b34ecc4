package follow

import (
	"fmt"
	"testing"
)

// A control instance that serves a ninth of all daemons is lost. If they all switched to the
// same other instance, that instance would carry twice its share during the outage.
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
			t.Errorf("%s is followed by %d of 970 daemons, want 80 to 140", peer, n)
		}
		if n := second[peer]; peer != peers[3] && (n == 0 || n > 30) {
			t.Errorf("%s takes over %d daemons of the lost instance, want 1 to 30", peer, n)
		}
	}
}
