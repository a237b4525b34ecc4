package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// daemonTable records the daemons that follow this instance and the config index
// that is in force at each of them.
type daemonTable struct {
	lease   time.Duration
	limit   int
	records map[string]daemonRecord
}

type daemonRecord struct {
	wire.Daemon
	lastCall time.Time
}

// forgetAfter is how long a lost daemon stays listed for operators, as a multiple
// of lostAfter.
const forgetAfter = 12

// lostMargin is the time that a poll may spend in transit.
const lostMargin = 2 * time.Second

func newDaemonTable(lease time.Duration, limit int) *daemonTable {
	return &daemonTable{lease: lease, limit: limit, records: make(map[string]daemonRecord)}
}

func (t *daemonTable) record(in wire.Watch, now time.Time) {
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
		lastCall: now,
	}
}

// lostAfter returns how long after its last call a daemon has certainly stopped
// admitting. Its last proof of freshness may be as recent as that call.
func (t *daemonTable) lostAfter(record daemonRecord) time.Duration {
	return max(t.lease, record.Lease+lostMargin)
}

// longestLease returns how long it takes until the daemons that follow an
// unreachable instance have stopped admitting, judging by the leases known to this
// instance.
func (t *daemonTable) longestLease() time.Duration {
	longest := t.lease
	for _, record := range t.records {
		longest = max(longest, t.lostAfter(record))
	}
	return longest
}

// list returns the daemons sorted by name and removes those that have made no call
// for forgetAfter times lostAfter.
func (t *daemonTable) list(now time.Time) []wire.Daemon {
	all := make([]wire.Daemon, 0, len(t.records))
	for name, record := range t.records {
		unseen := now.Sub(record.lastCall)
		if unseen > forgetAfter*t.lostAfter(record) {
			delete(t.records, name)
			continue
		}
		record.SinceLastCall = unseen
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
