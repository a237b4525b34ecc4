package overlay

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func nodes(n, disks int) []Node {
	list := make([]Node, 0, n)
	for i := range n {
		list = append(list, Node{Address: fmt.Sprintf("10.%d.0.%d:1", i%4, i/4), DataCentre: fmt.Sprint("dc", i%4), Disk: i < disks})
	}
	return list
}

func without(list []Node, address string) []Node {
	return slices.DeleteFunc(slices.Clone(list), func(n Node) bool { return n.Address == address })
}

func TestSmallDeploymentIsFullMesh(t *testing.T) {
	all := nodes(MaxHubs, 4)
	for _, self := range all {
		if greeted, hub := Greet(self, without(all, self.Address)); len(greeted) != MaxHubs-1 || !hub {
			t.Errorf("%s greets %d of %d others", self.Address, len(greeted), MaxHubs-1)
		}
	}
}

// At the design size no process may greet all others.
func TestLargeDeploymentUsesHubs(t *testing.T) {
	const size = 370
	all := nodes(size, 9)
	for i := range 9 {
		all[i].Member = true
	}
	greetedBy := make(map[string]int)
	for _, self := range all {
		greeted, hub := Greet(self, without(all, self.Address))
		if want := hubsPerProcess; self.Disk {
			want = MaxHubs - 1
			if len(greeted) != want || !hub {
				t.Errorf("member %s greets %d, want all %d other hubs", self.Address, len(greeted), want)
			}
		}
		for _, address := range greeted {
			greetedBy[address]++
		}
	}
	if len(greetedBy) != MaxHubs {
		t.Fatalf("%d processes are greeted, want %d hubs", len(greetedBy), MaxHubs)
	}
	const fairShare = hubsPerProcess*size/MaxHubs + MaxHubs
	for address, n := range greetedBy {
		if n > 2*fairShare {
			t.Errorf("hub %s is greeted by %d, a fair share is %d", address, n, fairShare)
		}
	}
}

// A hub stops answering. Without a replacement, notices of leaving servers would not
// reach its processes, which would send those servers requests that are aborted.
func TestLostHubIsReplaced(t *testing.T) {
	all := nodes(40, 4)
	self := all[39]
	others := without(all, self.Address)
	before, _ := Greet(self, others)
	for i := range others {
		others[i].Lost = others[i].Address == before[0]
	}
	after, _ := Greet(self, others)
	if slices.Contains(after, before[0]) || len(after) != hubsPerProcess {
		t.Errorf("it greets %v, want hubs other than the lost %s", after, before[0])
	}
	for i := range others {
		others[i].Lost = true
	}
	if alone, _ := Greet(self, others); len(alone) != hubsPerProcess {
		t.Errorf("with all hubs lost it greets %v, want it to keep trying", alone)
	}
}

// Updates must reach every process over greetings in either direction, for any
// deployment and with any one process lost.
func TestGreetingsConnectAllProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := nodes(rapid.IntRange(2, 120).Draw(t, "size"), rapid.IntRange(0, 12).Draw(t, "disks"))
		lost := all[rapid.IntRange(0, len(all)-1).Draw(t, "lost")].Address
		edges := make(map[string][]string)
		for _, self := range all {
			if self.Address == lost {
				continue
			}
			others := without(all, self.Address)
			for i := range others {
				others[i].Lost = others[i].Address == lost
			}
			greeted, _ := Greet(self, others)
			for _, other := range greeted {
				edges[self.Address] = append(edges[self.Address], other)
				edges[other] = append(edges[other], self.Address)
			}
		}
		alive := without(all, lost)
		seen := map[string]bool{alive[0].Address: true}
		for queue := []string{alive[0].Address}; len(queue) > 0; queue = queue[1:] {
			for _, next := range edges[queue[0]] {
				if next != lost && !seen[next] {
					seen[next] = true
					queue = append(queue, next)
				}
			}
		}
		if len(seen) != len(alive) {
			t.Fatalf("updates reach %d of %d processes, want all", len(seen), len(alive))
		}
	})
}

func TestSpreadAlternatesDataCentres(t *testing.T) {
	got := Spread([]string{"a2", "a1", "a3", "b1", "c1"}, func(s string) (string, string) { return s[:1], s })
	if want := []string{"a1", "b1", "c1", "a2", "a3"}; !slices.Equal(got, want) {
		t.Errorf("spread is %v, want %v", got, want)
	}
}

// BenchmarkGreetAtSize measures one call of Greet with 370 processes.
func BenchmarkGreetAtSize(b *testing.B) {
	all := nodes(370, 9)
	for b.Loop() {
		Greet(all[369], all[:369])
	}
}
