package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// daemonTable knows the daemons that follow this instance and the index that
// each has in force.
type daemonTable struct {
	lease   time.Duration
	limit   int
	records map[string]daemonRecord
}

type daemonRecord struct {
	wire.Daemon
	last time.Time
}

// forgetAfter is how many leases a lost daemon stays listed for operators.
const forgetAfter = 12

func newDaemonTable(lease time.Duration, limit int) *daemonTable {
	return &daemonTable{lease: lease, limit: limit, records: make(map[string]daemonRecord)}
}

func (t *daemonTable) seen(in wire.Watch, now time.Time) {
	if _, known := t.records[in.Daemon]; !known && len(t.records) >= t.limit {
		return
	}
	t.records[in.Daemon] = daemonRecord{
		Daemon: wire.Daemon{Name: in.Daemon, Scope: in.Scope, ConfigIndex: in.ConfigIndex, Freshness: in.Freshness},
		last:   now,
	}
}

// list returns the daemons by name and forgets those that are long lost.
func (t *daemonTable) list(now time.Time) []wire.Daemon {
	all := make([]wire.Daemon, 0, len(t.records))
	for name, record := range t.records {
		unseen := now.Sub(record.last)
		if unseen > forgetAfter*t.lease {
			delete(t.records, name)
			continue
		}
		record.Unseen = unseen
		record.Lost = unseen > t.lease
		all = append(all, record.Daemon)
	}
	slices.SortFunc(all, func(a, b wire.Daemon) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func (c *Control) answerDaemons(context.Context, wire.DaemonsRequest) (wire.DaemonsReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return wire.DaemonsReply{Instance: c.options.Instance, Daemons: c.daemons.list(time.Now())}, nil
}
