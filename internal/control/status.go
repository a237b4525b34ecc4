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
	// peerTimeout bounds a question to another control instance.
	peerTimeout = time.Second
	// inForceInterval is the time between two looks at the daemons.
	inForceInterval = 100 * time.Millisecond
)

func (c *Control) getStatus(w http.ResponseWriter, r *http.Request) {
	survey := c.survey(r.Context())
	status := operator.Status{
		Instance:  c.options.Instance,
		Instances: survey.instances,
		Daemons:   survey.daemons,
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

// survey is what all control instances that answer know together.
type survey struct {
	instances []operator.Instance
	daemons   []wire.Daemon
	silent    []string
}

// survey asks every control instance for its standing and its daemons.
func (c *Control) survey(ctx context.Context) survey {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	instances := make([]operator.Instance, len(c.options.Peers))
	daemons := make([][]wire.Daemon, len(c.options.Peers))
	var questions sync.WaitGroup
	for i, address := range c.options.Peers {
		questions.Go(func() { instances[i], daemons[i] = c.askInstance(ctx, address) })
	}
	questions.Wait()
	result := survey{instances: instances, daemons: joinDaemons(daemons)}
	for _, instance := range instances {
		if instance.Error != "" {
			result.silent = append(result.silent, instance.Address)
		}
	}
	return result
}

func (c *Control) askInstance(ctx context.Context, address string) (operator.Instance, []wire.Daemon) {
	client := rpc.NewClient(address, c.options.RPC...)
	defer client.Close()
	instance := operator.Instance{Address: address}
	standing, offset, err := askStanding(ctx, client)
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

// joinDaemons lists each daemon once, as the instance saw it that it called
// last: a daemon that moved is remembered by the instance that it left.
func joinDaemons(lists [][]wire.Daemon) []wire.Daemon {
	latest := make(map[string]wire.Daemon)
	for _, daemon := range slices.Concat(lists...) {
		known, seen := latest[daemon.Name]
		if !seen || daemon.Unseen < known.Unseen {
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

// getInForce answers once no living daemon works without the change at an
// index, or names those that do when the time is over.
func (c *Control) getInForce(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseUint(chi.URLParam(r, "index"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "the index must be a number")
		return
	}
	millis, _ := strconv.ParseInt(r.URL.Query().Get("waitMillis"), 10, 64)
	started := time.Now()
	limit := min(time.Duration(millis)*time.Millisecond, operator.WaitLimit)
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
	survey := c.survey(ctx)
	report := operator.InForce{Index: index, Silent: survey.silent}
	for _, daemon := range survey.daemons {
		switch {
		case daemon.ConfigIndex >= index:
		case daemon.Lost:
			report.Lost = append(report.Lost, daemon)
		default:
			report.Waiting = append(report.Waiting, daemon)
		}
	}
	// Daemons that follow a silent instance are not known here. They stop
	// admitting within their freshness lease.
	settled := len(survey.silent) == 0 || waited >= c.longestLease()
	report.Done = len(report.Waiting) == 0 && settled
	return report
}
