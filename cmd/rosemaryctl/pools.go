package main

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/rosemarypass/rosemarypass/internal/operator"
)

// pool holds the totals of the announced servers of one pool in one data centre.
type pool struct {
	name, dataCentre string
	serving, leaving int
	running, waiting int
	capacity         int
	adapters, slots  int
	loading          int
	loadMillis       int
	// stallPercent and stallMillis are each the maximum over the servers.
	stallPercent int
	stallMillis  int
}

func (p *pool) add(server operator.Server) {
	a := server.Announced
	if a.Leaving {
		p.leaving++
	} else {
		p.serving++
	}
	p.running += a.Load.Running
	p.waiting += a.Load.Waiting
	p.capacity += a.Load.Capacity
	p.adapters += len(a.Load.Resident)
	p.slots += a.Slots
	p.loading += len(a.Load.Loading)
	p.loadMillis = max(p.loadMillis, a.Load.LoadMillis)
	p.stallPercent = max(p.stallPercent, a.Load.StallPercent)
	p.stallMillis = max(p.stallMillis, a.Load.StallMillis)
}

// pools returns the totals of the announced servers by pool and data centre.
func pools(servers []operator.Server) []pool {
	sums := make(map[[2]string]*pool)
	for _, server := range servers {
		if server.Announced == nil {
			continue
		}
		key := [2]string{server.Announced.Pool, server.Announced.DataCentre}
		if sums[key] == nil {
			sums[key] = &pool{name: key[0], dataCentre: key[1]}
		}
		sums[key].add(server)
	}
	all := make([]pool, 0, len(sums))
	for _, sum := range sums {
		all = append(all, *sum)
	}
	slices.SortFunc(all, func(a, b pool) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.dataCentre, b.dataCentre))
	})
	return all
}

// showPools prints for each pool how far its batches and adapter slots are used
// and how long adapter loads take.
func (t *tool) showPools(servers []operator.Server) {
	var rows [][]string
	for _, p := range pools(servers) {
		rows = append(rows, []string{
			p.name, p.dataCentre, fmt.Sprint(p.serving), fmt.Sprint(p.leaving), fmt.Sprint(p.running), fmt.Sprint(p.waiting),
			utilization(p.running, p.capacity), fmt.Sprint(p.loading), utilization(p.adapters, p.slots), formatMillis(p.loadMillis),
			fmt.Sprintf("%d%%", p.stallPercent), formatMillis(p.stallMillis),
		})
	}
	t.table("POOL,DATA CENTRE,SERVING,LEAVING,RUNNING,WAITING,BATCH,LOADING,SLOTS USED,SLOWEST LOAD,MOST STALLED,LONGEST STALL", rows)
}

// utilization formats part as a percentage of whole. It returns "" if whole is 0.
func utilization(part, whole int) string {
	if whole == 0 {
		return ""
	}
	return fmt.Sprintf("%d%%", 100*part/whole)
}

func formatMillis(millis int) string {
	if millis == 0 {
		return ""
	}
	return fmt.Sprintf("%d ms", millis)
}
