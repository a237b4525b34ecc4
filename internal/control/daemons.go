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

// lostMargin is the time that a poll may be on its way.
const lostMargin = 2 * time.Second

func newDaemonTable(lease time.Duration, limit int) *daemonTable {
	return &daemonTable{lease: lease, limit: limit, records: make(map[string]daemonRecord)}
}

func (t *daemonTable) seen(in wire.Watch, now time.Time) {
	if _, known := t.records[in.Daemon]; !known && len(t.records) >= t.limit {
		return
	}
	t.records[in.Daemon] = daemonRecord{
		Daemon: wire.Daemon{
			Name:        in.Daemon,
			Scope:       in.Scope,
			ConfigIndex: in.ConfigIndex,
			Freshness:   in.Freshness,
			Lease:       in.Lease,
		},
		last: now,
	}
}

// lostAfter is when a daemon that calls no more admits nothing any more: its
// last proof may be as young as its last call.
func (t *daemonTable) lostAfter(record daemonRecord) time.Duration {
	return max(t.lease, record.Lease+lostMargin)
}

// longestLease is when the daemons of an instance that does not answer admit
// nothing any more, as far as the leases are known here.
func (t *daemonTable) longestLease() time.Duration {
	longest := t.lease
	for _, record := range t.records {
		longest = max(longest, t.lostAfter(record))
	}
	return longest
}

// list returns the daemons by name and forgets those that are long lost.
func (t *daemonTable) list(now time.Time) []wire.Daemon {
	all := make([]wire.Daemon, 0, len(t.records))
	for name, record := range t.records {
		unseen := now.Sub(record.last)
		if unseen > forgetAfter*t.lostAfter(record) {
			delete(t.records, name)
			continue
		}
		record.Unseen = unseen
		record.Lost = unseen > t.lostAfter(record)
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
