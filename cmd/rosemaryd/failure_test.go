package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/standin/caller"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// inForceWait is longer than the daemons' leases, after which a control
// instance that is silent no longer keeps a change from being in force.
const inForceWait = 20 * time.Second

// callers ask entries again and again until they are stopped.
type callers struct {
	tb       testing.TB
	stop     chan struct{}
	working  sync.WaitGroup
	answered atomic.Int64
}

func startCallers(f *fleet, entries []*process, n, tokens int) *callers {
	c := &callers{tb: f.tb, stop: make(chan struct{})}
	for i := range n {
		c.working.Go(func() { c.run(entries[i%len(entries)], i, tokens) })
	}
	f.await("the first answers", func() bool { return c.answered.Load() >= int64(n) })
	return c
}

func (c *callers) run(entry *process, i, tokens int) {
	asking := caller.New(fleetCallerKey, 1)
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		if err := asking.Complete(entry.url(), model(i), tokens); err != nil {
			c.tb.Errorf("caller %d at %s: %v", i, entry.name, err)
			return
		}
		c.answered.Add(1)
	}
}

// end stops the callers and returns once each has its last answer.
func (c *callers) end() {
	close(c.stop)
	c.working.Wait()
}

// leader finds the process of the log's leader.
func (f *fleet) leader() *process {
	f.tb.Helper()
	var found *process
	f.await("a leader", func() bool {
		members, err := f.client.Members(f.tb.Context())
		if err != nil || members.Leader == "" {
			return false
		}
		name, _, _ := strings.Cut(string(members.Leader), ".")
		for _, p := range f.role("control") {
			if p.name == name {
				found = p
				return true
			}
		}
		return false
	})
	return found
}

func (f *fleet) awaitSurvivable(n int) wire.MemberList {
	f.tb.Helper()
	var list wire.MemberList
	f.await("redundancy", func() bool {
		members, err := f.client.Members(f.tb.Context())
		list = members
		return err == nil && members.Leader != "" && members.Survivable == n
	})
	return list
}

// changeContract writes the contract once more and waits until the change is
// in force in every living daemon.
func (f *fleet) changeContract() {
	f.tb.Helper()
	var index uint64
	f.await("a change accepted", func() bool {
		f.useOperators(f.asked)
		current, err := f.client.Contract(f.tb.Context(), "amman")
		if err != nil || f.client.Unconfirmed() {
			return false
		}
		index = f.putContract(current.Revision)
		return true
	})
	f.awaitInForce(index)
}

// The control leader's power fails while callers are served. Callers must
// notice nothing, and operators must be able to change contracts again once
// another instance leads. Then the instance comes back without its disk, as a
// new member, and redundancy must really stand again.
func TestAKilledLeaderCostsNoRequestAndALostDiskIsReplaced(t *testing.T) {
	f := startFleet(t, 3, 2, 2)
	f.awaitSurvivable(1)
	c := startCallers(f, f.role("entry"), 8, 10)
	lost := f.leader()
	lost.signal(t, syscall.SIGKILL)
	_ = lost.cmd.Wait()
	f.changeContract()
	before := c.answered.Load()
	f.await("answers after the loss", func() bool { return c.answered.Load() > before+8 })

	i := 0
	for i = range f.peers {
		if f.operators[i] == lost.listen {
			break
		}
	}
	if err := os.RemoveAll(filepath.Join(f.folder, lost.name)); err != nil {
		t.Fatal(err)
	}
	f.startControl(i, false)
	f.replace(lost.name)
	f.awaitSurvivable(1)
	f.changeContract()
	c.end()
}

// replace removes the identity that lost its disk and lets the new one of the
// same name take its place.
func (f *fleet) replace(name string) {
	f.tb.Helper()
	var old string
	f.await("the lost member listed", func() bool {
		members, err := f.client.Members(f.tb.Context())
		if err != nil {
			return false
		}
		waiting := false
		for _, member := range members.Members {
			if !strings.HasPrefix(string(member.ID), name+".") {
				continue
			}
			if string(member.Role) == "waiting" {
				waiting = true
				continue
			}
			old = string(member.ID)
		}
		return waiting && old != ""
	})
	for _, change := range []wire.MemberChange{
		{Action: wire.MemberRemove, Member: old},
		{Action: wire.MemberAdd, Member: name},
		{Action: wire.MemberPromote, Member: name},
	} {
		f.await(string(change.Action), func() bool { return f.client.ChangeMembers(f.tb.Context(), change) == nil })
	}
}

// The control leader freezes without a word, as under a stalled disk or a
// paused virtual machine, and thaws much later, when others have accepted
// changes. It must not take callers or daemons back to what it knew.
func TestAFrozenLeaderRevertsNothingWhenItThaws(t *testing.T) {
	f := startFleet(t, 3, 2, 2)
	c := startCallers(f, f.role("entry"), 8, 10)
	frozen := f.leader()
	f.useOperators(slices.DeleteFunc(slices.Clone(f.operators), func(address string) bool { return address == frozen.listen }))
	frozen.signal(t, syscall.SIGSTOP)
	f.changeContract()
	accepted, err := f.client.Contract(t.Context(), "amman")
	if err != nil {
		t.Fatal(err)
	}
	frozen.signal(t, syscall.SIGCONT)
	f.useOperators([]string{frozen.listen})
	f.awaitSurvivable(1)
	for range 20 {
		f.useOperators(f.asked)
		now, err := f.client.Contract(t.Context(), "amman")
		if err != nil {
			t.Fatal(err)
		}
		if now.Revision < accepted.Revision && !f.client.Unconfirmed() {
			t.Fatalf("the contract went back from revision %d to %d", accepted.Revision, now.Revision)
		}
	}
	f.changeContract()
	c.end()
}

// An entry and an agent are stopped for maintenance while long answers stream
// through them. No stream may be cut, and the callers of the other entry must
// notice nothing.
func TestAPlannedStopCutsNoStream(t *testing.T) {
	f := startFleet(t, 1, 2, 2)
	entries, agents := f.role("entry"), f.role("agent")
	others := startCallers(f, entries[1:], 4, 10)
	var long sync.WaitGroup
	var whole atomic.Int64
	const streams, tokens = 8, 200
	for i := range streams {
		long.Go(func() {
			if err := caller.New(fleetCallerKey, 1).Complete(entries[0].url(), model(i), tokens); err != nil {
				t.Errorf("stream %d: %v", i, err)
				return
			}
			whole.Add(1)
		})
	}
	f.await("the streams at the engines", func() bool {
		return f.counter(agents[0], "agent_requests_admitted")+f.counter(agents[1], "agent_requests_admitted") >= streams
	})
	entries[0].signal(t, syscall.SIGTERM)
	agents[0].signal(t, syscall.SIGTERM)
	for _, p := range []*process{entries[0], agents[0]} {
		if err := p.cmd.Wait(); err != nil {
			t.Errorf("%s ended with %v\n%s", p.name, err, p.log)
		}
	}
	long.Wait()
	if whole.Load() != streams {
		t.Errorf("%d of %d streams were whole", whole.Load(), streams)
	}
	others.end()
}
