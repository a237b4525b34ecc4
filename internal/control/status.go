package control

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/operator"
	"github.com/rosemarypass/rosemarypass/internal/rpc"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

const (
	// peerTimeout bounds the calls to other control instances.
	peerTimeout = time.Second
	// inForceInterval is the time between two checks of the daemons' indexes.
	inForceInterval = 100 * time.Millisecond
)

func (c *Control) getStatus(w http.ResponseWriter, r *http.Request) {
	view := c.queryPeers(r.Context())
	status := operator.Status{
		Instance:  c.options.Instance,
		Instances: view.instances,
		Daemons:   view.daemons,
		Servers:   c.serverRows(),
	}
	c.read(func(m *state.Machine) {
		status.ConfigIndex = m.ConfigIndex()
		status.Suspects = m.Suspects()
		status.Counts = operator.Counts{
			Contracts: len(m.Contracts()),
			Models:    len(m.Models()),
			Adapters:  m.AdapterCount(),
			Services:  len(m.Services()),
			Servers:   len(status.Servers),
		}
	})
	writeJSON(w, http.StatusOK, status)
}

// clusterView combines the answers of all control instances.
type clusterView struct {
	instances   []operator.Instance
	daemons     []wire.Daemon
	unreachable []string
}

// queryPeers queries the standing and the daemons of every control instance.
func (c *Control) queryPeers(ctx context.Context) clusterView {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	instances := make([]operator.Instance, len(c.options.Peers))
	daemons := make([][]wire.Daemon, len(c.options.Peers))
	var wg sync.WaitGroup
	for i, address := range c.options.Peers {
		wg.Go(func() { instances[i], daemons[i] = c.queryPeer(ctx, address) })
	}
	wg.Wait()
	result := clusterView{instances: instances, daemons: mergeDaemons(daemons)}
	for _, instance := range instances {
		if instance.Error != "" {
			result.unreachable = append(result.unreachable, instance.Address)
		}
	}
	return result
}

func (c *Control) queryPeer(ctx context.Context, address string) (operator.Instance, []wire.Daemon) {
	client := rpc.NewClient(address, c.options.RPC...)
	defer client.Close()
	instance := operator.Instance{Address: address}
	standing, offset, err := fetchStanding(ctx, client)
	if err != nil {
		instance.Error = err.Error()
		return instance, nil
	}
	instance.Name, instance.Standing, instance.ClockAhead = standing.Instance, standing.Standing, offset
	var daemons wire.DaemonsReply
	if err := client.Call(ctx, wire.MethodDaemons, wire.DaemonsRequest{}, &daemons); err != nil {
		instance.Error = err.Error()
		return instance, nil
	}
	return instance, daemons.Daemons
}

// mergeDaemons lists each daemon once, with the record of the instance that it
// called last. A daemon that moved to another instance is still listed by the
// instance that it left.
func mergeDaemons(lists [][]wire.Daemon) []wire.Daemon {
	latest := make(map[string]wire.Daemon)
	for _, daemon := range slices.Concat(lists...) {
		known, seen := latest[daemon.Name]
		if !seen || daemon.SinceLastCall < known.SinceLastCall {
			latest[daemon.Name] = daemon
		}
	}
	all := make([]wire.Daemon, 0, len(latest))
	for _, daemon := range latest {
		all = append(all, daemon)
	}
	slices.SortFunc(all, func(a, b wire.Daemon) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// getInForce answers once the change at an index is in force at every daemon that is
// not lost. When the wait expires before that, it answers with the daemons at which
// the change is not in force yet.
func (c *Control) getInForce(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseUint(chi.URLParam(r, "index"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "the index must be a number")
		return
	}
	millis, _ := strconv.ParseInt(r.URL.Query().Get("waitMillis"), 10, 64)
	started := time.Now()
	limit := min(time.Duration(millis)*time.Millisecond, operator.MaxWait)
	for {
		report := c.inForce(r.Context(), index, time.Since(started))
		if report.Done || time.Since(started) >= limit || r.Context().Err() != nil {
			writeJSON(w, http.StatusOK, report)
			return
		}
		select {
		case <-r.Context().Done():
		case <-time.After(inForceInterval):
		}
	}
}

func (c *Control) longestLease() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons.longestLease()
}

func (c *Control) inForce(ctx context.Context, index uint64, waited time.Duration) operator.InForce {
	view := c.queryPeers(ctx)
	report := operator.InForce{Index: index, Unresponsive: view.unreachable}
	for _, daemon := range view.daemons {
		switch {
		case daemon.ConfigIndex >= index:
		case daemon.Lost:
			report.Expired = append(report.Expired, daemon)
		default:
			report.Waiting = append(report.Waiting, daemon)
		}
	}
	// The daemons that follow an unreachable instance are unknown to this one. They
	// stop admitting when their freshness lease expires.
	settled := len(view.unreachable) == 0 || waited >= c.longestLease()
	report.Done = len(report.Waiting) == 0 && settled
	return report
}
