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

// inForceTimeout is longer than the daemons' leases. Once these have expired, an
// unresponsive control instance no longer prevents a change from being in force.
const inForceTimeout = 20 * time.Second

// callers send requests to the entries in a loop until they are stopped.
type callers struct {
	tb       testing.TB
	stop     chan struct{}
	running  sync.WaitGroup
	answered atomic.Int64
}

func startCallers(f *fleet, entries []*process, n, tokens int) *callers {
	c := &callers{tb: f.tb, stop: make(chan struct{})}
	for i := range n {
		c.running.Go(func() { c.run(entries[i%len(entries)], i, tokens) })
	}
	f.await("the first responses", func() bool { return c.answered.Load() >= int64(n) })
	return c
}

func (c *callers) run(entry *process, i, tokens int) {
	client := caller.New(fleetCallerKey, 1)
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		if err := client.Complete(entry.url(), adapterName(i), tokens); err != nil {
			c.tb.Errorf("caller %d at %s: %v", i, entry.name, err)
			return
		}
		c.answered.Add(1)
	}
}

// stopAndWait stops the callers and waits until each has received the response
// to its last request.
func (c *callers) stopAndWait() {
	close(c.stop)
	c.running.Wait()
}

// awaitLeader waits until the log has a leader and returns its process.
func (f *fleet) awaitLeader() *process {
	f.tb.Helper()
	var found *process
	f.await("a leader", func() bool {
		members, err := f.client.Members(f.tb.Context())
		if err != nil || members.Leader == "" {
			return false
		}
		name, _, _ := strings.Cut(string(members.Leader), ".")
		for _, p := range f.processesWithRole("control") {
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
	f.await("the expected redundancy", func() bool {
		members, err := f.client.Members(f.tb.Context())
		list = members
		return err == nil && members.Leader != "" && members.Survivable == n
	})
	return list
}

// changeContract writes the contract again and waits until the change is in force
// in every live daemon.
func (f *fleet) changeContract() {
	f.tb.Helper()
	var index uint64
	f.await("an accepted change", func() bool {
		f.connectClient(f.clientAddresses)
		current, err := f.client.Contract(f.tb.Context(), "amman")
		if err != nil || f.client.Unconfirmed() {
			return false
		}
		index = f.putContract(current.Revision)
		return true
	})
	f.awaitInForce(index)
}

// Guards against failed requests and lost redundancy when the leading control
// instance crashes and loses its disk. No request may fail, and operators must be
// able to change contracts again once another instance leads. The instance then
// returns with an empty disk as a new member, after which the log must again
// survive the loss of one member.
func TestLeaderCrashAndDiskReplacement(t *testing.T) {
	f := startFleet(t, 3, 2, 2)
	f.awaitSurvivable(1)
	c := startCallers(f, f.processesWithRole("entry"), 8, 10)
	killed := f.awaitLeader()
	killed.signal(t, syscall.SIGKILL)
	_ = killed.cmd.Wait()
	f.changeContract()
	before := c.answered.Load()
	f.await("responses after the crash", func() bool { return c.answered.Load() > before+8 })

	i := 0
	for i = range f.peers {
		if f.operators[i] == killed.listen {
			break
		}
	}
	if err := os.RemoveAll(filepath.Join(f.folder, killed.name)); err != nil {
		t.Fatal(err)
	}
	f.startControl(i, false)
	f.replaceMember(killed.name)
	f.awaitSurvivable(1)
	f.changeContract()
	c.stopAndWait()
}

// replaceMember removes the member that lost its disk, and adds and promotes the
// new member with the same instance name.
func (f *fleet) replaceMember(name string) {
	f.tb.Helper()
	var old string
	f.await("the old and the new member in the list", func() bool {
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

// Guards against a stale leader that reverts changes. The leading control
// instance is paused, as by a stalled disk or a paused virtual machine, and
// resumes after the others have accepted changes. It must not serve its older
// state to callers or daemons as confirmed.
func TestPausedLeaderDoesNotRevertChanges(t *testing.T) {
	f := startFleet(t, 3, 2, 2)
	c := startCallers(f, f.processesWithRole("entry"), 8, 10)
	paused := f.awaitLeader()
	f.connectClient(slices.DeleteFunc(slices.Clone(f.operators), func(address string) bool { return address == paused.listen }))
	paused.signal(t, syscall.SIGSTOP)
	f.changeContract()
	accepted, err := f.client.Contract(t.Context(), "amman")
	if err != nil {
		t.Fatal(err)
	}
	paused.signal(t, syscall.SIGCONT)
	f.connectClient([]string{paused.listen})
	f.awaitSurvivable(1)
	for range 20 {
		f.connectClient(f.clientAddresses)
		now, err := f.client.Contract(t.Context(), "amman")
		if err != nil {
			t.Fatal(err)
		}
		if now.Revision < accepted.Revision && !f.client.Unconfirmed() {
			t.Fatalf("the contract was reverted from revision %d to %d", accepted.Revision, now.Revision)
		}
	}
	f.changeContract()
	c.stopAndWait()
}

// Guards against streams that are aborted when an entry and an agent are stopped
// for maintenance. Every stream must complete, and no request of the other
// entry's callers may fail.
func TestPlannedStopCompletesStreams(t *testing.T) {
	f := startFleet(t, 1, 2, 2)
	entries, agents := f.processesWithRole("entry"), f.processesWithRole("agent")
	others := startCallers(f, entries[1:], 4, 10)
	var streamCallers sync.WaitGroup
	var complete atomic.Int64
	const streams, tokens = 8, 200
	for i := range streams {
		streamCallers.Go(func() {
			if err := caller.New(fleetCallerKey, 1).Complete(entries[0].url(), adapterName(i), tokens); err != nil {
				t.Errorf("stream %d: %v", i, err)
				return
			}
			complete.Add(1)
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
	streamCallers.Wait()
	if complete.Load() != streams {
		t.Errorf("%d of %d streams completed", complete.Load(), streams)
	}
	others.stopAndWait()
}
