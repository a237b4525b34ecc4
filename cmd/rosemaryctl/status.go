package main

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/suspicion"
	"github.com/rosemarypass/rosemarypass/internal/operator"
)

type statusCommand struct{}

type watchCommand struct {
	Interval time.Duration `arg:"--interval" default:"1s" help:"time between two updates"`
}

// clearScreen moves the cursor to the top left and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

func (*statusCommand) run(ctx context.Context, t *tool) error {
	status, err := t.client.Status(ctx)
	if err != nil {
		return err
	}
	t.show(status, func() { t.showStatus(status) })
	return nil
}

func (c *watchCommand) run(ctx context.Context, t *tool) error {
	ticker := time.NewTicker(max(c.Interval, 100*time.Millisecond))
	defer ticker.Stop()
	for {
		status, err := t.client.Status(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		t.show(status, func() {
			fmt.Fprint(t.out, clearScreen, time.Now().Format(time.TimeOnly), "\n")
			t.showStatus(status)
		})
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (t *tool) showStatus(status operator.Status) {
	fmt.Fprintf(t.out, "answered by %s at index %d: %d contracts, %d adapters, %d models, %d services\n\n",
		status.Instance, status.ConfigIndex, status.Counts.Contracts, status.Counts.Adapters, status.Counts.Models, status.Counts.Services)
	t.showInstances(status.Instances)
	fmt.Fprintln(t.out)
	t.showDaemons(status)
	fmt.Fprintln(t.out)
	t.showPools(status.Servers)
	fmt.Fprintln(t.out)
	t.showServers(status.Servers)
	t.showSuspects(status.Suspects)
}

// showSuspects lists the suspect requests that are held back, if there are any.
func (t *tool) showSuspects(suspects []suspicion.Record) {
	if len(suspects) == 0 {
		return
	}
	fmt.Fprintln(t.out)
	rows := make([][]string, 0, len(suspects))
	for _, s := range suspects {
		rows = append(rows, []string{
			fmt.Sprint(s.Fingerprint), fmt.Sprint(s.State), fmt.Sprint(s.Crashes), time.UnixMilli(s.Expires).Format(time.DateTime),
		})
	}
	t.table("SUSPECT REQUEST,STATE,CRASHES,UNTIL", rows)
}

func (t *tool) showInstances(instances []operator.Instance) {
	rows := make([][]string, 0, len(instances))
	for _, instance := range instances {
		s := instance.Standing
		if instance.Error != "" {
			rows = append(rows, []string{instance.Address, "", "no answer", "", "", "", "", "", ""})
			continue
		}
		rows = append(rows, []string{
			instance.Address, instance.Name, quorumState(instance), s.Leader, fmt.Sprint(s.Term),
			fmt.Sprint(s.LastIndex), fmt.Sprint(s.Applied), fmt.Sprint(s.ConfigIndex), formatDuration(instance.ClockAhead),
		})
	}
	t.table("CONTROL,NAME,QUORUM,LEADER,TERM,LAST,APPLIED,CONFIG,CLOCK AHEAD", rows)
}

func quorumState(instance operator.Instance) string {
	if instance.Standing.Confirmed {
		return "confirmed"
	}
	return "not confirmed"
}

// showDaemons prints every daemon with its config index, its lag and the freshness
// of its copy.
func (t *tool) showDaemons(status operator.Status) {
	rows := make([][]string, 0, len(status.Daemons))
	for _, daemon := range status.Daemons {
		lag := int64(status.ConfigIndex) - int64(daemon.ConfigIndex)
		liveness := "living"
		if daemon.Lost {
			liveness = "lost"
		}
		rows = append(rows, []string{
			daemon.Name, string(daemon.Scope), liveness, formatDuration(daemon.SinceLastCall), fmt.Sprint(daemon.ConfigIndex), fmt.Sprint(max(lag, 0)),
			string(daemon.Freshness.Kind), daemon.Freshness.Reason,
		})
	}
	t.table("DAEMON,FOLLOWS,SEEN,UNSEEN,INDEX,BEHIND,COPY,REASON", rows)
}

func formatDuration(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }
