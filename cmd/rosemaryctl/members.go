package main

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/wire"
)

type membersCommand struct {
	List     *membersList     `arg:"subcommand:list" help:"list the members and the number of losses that are currently survivable"`
	Add      *membersAdd      `arg:"subcommand:add" help:"add a waiting instance as a learner, which receives the log but does not vote"`
	Promote  *membersPromote  `arg:"subcommand:promote" help:"promote a learner that has caught up to voter"`
	Remove   *membersRemove   `arg:"subcommand:remove" help:"remove a member, such as one whose disk is lost"`
	Transfer *membersTransfer `arg:"subcommand:transfer" help:"transfer the leadership to a voter"`
}

type membersList struct{}

// memberName is the argument that selects the member to change.
type memberName struct {
	Member string `arg:"positional,required" help:"id, or the instance's name if only one member has it"`
}

type membersAdd struct{ memberName }
type membersPromote struct{ memberName }
type membersRemove struct{ memberName }
type membersTransfer struct{ memberName }

func (*membersList) run(ctx context.Context, t *tool) error {
	list, err := t.client.Members(ctx)
	if err != nil {
		return err
	}
	t.show(list, func() { t.showMembers(list) })
	return nil
}

func (t *tool) showMembers(list wire.MemberList) {
	rows := make([][]string, 0, len(list.Members))
	for _, m := range list.Members {
		rows = append(rows, memberRow(m, list.Leader != ""))
	}
	t.table("MEMBER,ADDRESS,ROLE,MATCH,LAG,LAST CONTACT,CAUGHT UP", rows)
	fmt.Fprintln(t.out)
	if list.Failure != "" {
		fmt.Fprintf(t.out, "The answering instance has stepped out: %s\n", list.Failure)
	}
	if list.Cluster == "" {
		fmt.Fprintln(t.out, "This instance belongs to no log yet. If it has \"bootstrap\", it founds one once every instance in controlPeers answers; else it waits to be added.")
		return
	}
	if list.Leader == "" {
		fmt.Fprintln(t.out, "No leader is known: nothing can be accepted, and this is one instance's own view.")
		return
	}
	fmt.Fprintf(t.out, "%d voters, quorum %d, term %d, committed %d. Further losses survivable now: %d\n",
		list.Voters, list.Quorum, list.Term, list.Commit, list.Survivable)
}

// memberRow returns the table row of a member. Without a leader it leaves the
// columns empty that only a leader can fill.
func memberRow(m wire.Member, hasLeader bool) []string {
	row := []string{string(m.ID), m.Address, string(m.Role), "", "", lastContact(m), ""}
	if hasLeader && m.Role != wire.RoleWaiting {
		row[3], row[4], row[6] = fmt.Sprint(m.Match), fmt.Sprint(m.Lag), fmt.Sprint(m.CaughtUp)
	}
	return row
}

func lastContact(m wire.Member) string {
	if m.ContactMillis < 0 {
		return "never"
	}
	return (time.Duration(m.ContactMillis) * time.Millisecond).String() + " ago"
}

func (c *membersAdd) run(ctx context.Context, t *tool) error {
	return c.change(ctx, t, wire.MemberAdd, "added as a learner")
}

func (c *membersPromote) run(ctx context.Context, t *tool) error {
	return c.change(ctx, t, wire.MemberPromote, "promoted to voter")
}

func (c *membersRemove) run(ctx context.Context, t *tool) error {
	return c.change(ctx, t, wire.MemberRemove, "removed")
}

func (c *membersTransfer) run(ctx context.Context, t *tool) error {
	return c.change(ctx, t, wire.MemberTransfer, "asked to take the leadership over; see members list")
}

func (n memberName) change(ctx context.Context, t *tool, action wire.MemberAction, done string) error {
	change := wire.MemberChange{Action: action, Member: n.Member}
	if err := t.client.ChangeMembers(ctx, change); err != nil {
		return err
	}
	t.show(change, func() { fmt.Fprintf(t.out, "%s: %s\n", n.Member, done) })
	return nil
}
