package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/membership"
)

func TestAdviceCoversPeakDemandOfDay(t *testing.T) {
	fleet := func(running, obtainable, loadMillis int) []membership.Announcement {
		var all []membership.Announcement
		for i := range 10 {
			load := membership.Load{Running: running, Capacity: 16, Obtainable: obtainable, LoadMillis: loadMillis}
			all = append(all, engine(fmt.Sprintf("s%d", i), load))
		}
		return all
	}
	cases := []struct {
		name              string
		peak, now         []membership.Announcement
		later             time.Duration
		needed, stoppable int
		limit             Limit
	}{
		{"little demand", fleet(1, 7, 250), fleet(1, 7, 250), time.Minute, 2, 7, LimitSlots},
		{"peak hours ago", fleet(9, 8, 250), fleet(1, 8, 250), 20 * time.Hour, 8, 1, LimitBatches},
		{"peak two days ago", fleet(9, 8, 250), fleet(1, 8, 250), 48 * time.Hour, 1, 8, LimitBatches},
		{"many adapters in use", fleet(4, 3, 250), fleet(1, 8, 250), time.Hour, 9, 0, LimitSlots},
		{"more demand than servers", fleet(40, 0, 250), fleet(1, 8, 250), time.Hour, 34, 0, LimitBatches},
		{"slow store", fleet(1, 8, 250), fleet(1, 8, 4000), time.Hour, 1, 0, LimitLoads},
	}
	for _, c := range cases {
		a := NewAdvisor()
		a.Observe(c.peak, start)
		a.Observe(c.now, start.Add(c.later))
		got := a.Advise(start.Add(c.later))
		if len(got) != 1 || got[0].Needed != c.needed || len(got[0].Stoppable) != c.stoppable || got[0].Limit != c.limit {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

func TestAdviceStopsLeastPreferredServers(t *testing.T) {
	var all []membership.Announcement
	for i := range 6 {
		all = append(all, engine(fmt.Sprintf("s%d", i), idle()))
	}
	a := NewAdvisor()
	a.Observe(all, start)
	view := NewView(all, start)
	for i, name := range a.Advise(start)[0].Stoppable {
		if want := view.servers[len(all)-1-i].Server; name != want {
			t.Errorf("position %d: %s, want %s", i, name, want)
		}
	}
}
