package main

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/operator"
)

type serverCommand struct {
	List  *serverList  `arg:"subcommand:list" help:"list backend servers, as announced and as wanted"`
	Drain *serverDrain `arg:"subcommand:drain" help:"send a server no new requests; those in flight finish"`
	Start *serverStart `arg:"subcommand:start" help:"send a server requests again"`
	Stop  *serverStop  `arg:"subcommand:stop" help:"drain a server that will be switched off"`

	Advice *serverAdvice `arg:"subcommand:advice" help:"how many servers could be stopped, and why"`
}

type serverList struct{}

// serverName holds the arguments of a command that changes a server.
type serverName struct {
	Name string `arg:"positional,required"`
	Role string `arg:"--role" help:"role of the engine; unchanged if left out"`
}

type serverDrain struct{ serverName }
type serverStart struct{ serverName }
type serverStop struct{ serverName }

func (*serverList) run(ctx context.Context, t *tool) error {
	all, err := t.client.Servers(ctx)
	if err != nil {
		return err
	}
	t.show(all, func() { t.showServers(all) })
	return nil
}

func (t *tool) showServers(all []operator.Server) {
	rows := make([][]string, 0, len(all))
	for _, server := range all {
		rows = append(rows, serverRow(server))
	}
	t.table("SERVER,KIND,POOL,DATA CENTRE,ADDRESS,WANTED,STATE,RUNNING,WAITING,CAPACITY,ADAPTERS,SLOTS", rows)
}

func serverRow(server operator.Server) []string {
	a := server.Announced
	if a == nil {
		return []string{server.Name, "", "", "", "", string(server.Wanted.Wanted), "absent", "", "", "", "", ""}
	}
	announced := "serving"
	if a.Leaving {
		announced = "leaving"
	}
	return []string{
		server.Name, string(a.Kind), a.Pool, a.DataCentre, a.Address, string(server.Wanted.Wanted), announced,
		fmt.Sprint(a.Load.Running), fmt.Sprint(a.Load.Waiting), fmt.Sprint(a.Load.Capacity),
		fmt.Sprint(len(a.Load.Resident)), fmt.Sprint(a.Slots),
	}
}

func (c *serverDrain) run(ctx context.Context, t *tool) error {
	return c.setWanted(ctx, t, state.WantedDraining)
}

func (c *serverStart) run(ctx context.Context, t *tool) error {
	return c.setWanted(ctx, t, state.WantedServing)
}

func (c *serverStop) run(ctx context.Context, t *tool) error {
	return c.setWanted(ctx, t, state.WantedStopped)
}

func (n serverName) setWanted(ctx context.Context, t *tool, wanted state.Wanted) error {
	current, err := t.client.Server(ctx, n.Name)
	if err != nil && !errors.Is(err, operator.ErrNotFound) {
		return err
	}
	next := current.Wanted
	next.Name, next.Wanted = n.Name, wanted
	if n.Role != "" {
		next.Role = n.Role
	}
	result, err := t.client.PutServer(ctx, next)
	return t.reportChange(ctx, result, err)
}
