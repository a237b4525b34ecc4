package main

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/internal/operator"
)

type adapterCommand struct {
	Add    *adapterAdd    `arg:"subcommand:add" help:"add an adapter version"`
	List   *adapterList   `arg:"subcommand:list" help:"list adapter versions"`
	Retire *adapterRetire `arg:"subcommand:retire" help:"permanently withdraw an adapter version"`
}

type adapterAdd struct {
	Ref    string `arg:"positional,required" placeholder:"ADAPTER@VERSION"`
	Model  string `arg:"--model,required" help:"base model"`
	Source string `arg:"--source,required" help:"location in the weight store"`
}

type adapterList struct {
	Prefix string `arg:"positional" help:"prefix of the adapter names"`
}

type adapterRetire struct {
	Ref string `arg:"positional,required" placeholder:"ADAPTER@VERSION"`
}

func parseRef(text string) (catalogue.Ref, error) {
	ref, err := catalogue.ParseRef(text)
	if err != nil {
		return ref, errors.Wrap(errUsage, err.Error())
	}
	return ref, nil
}

func (c *adapterAdd) run(ctx context.Context, t *tool) error {
	ref, err := parseRef(c.Ref)
	if err != nil {
		return err
	}
	result, err := t.client.PutAdapter(ctx, catalogue.Adapter{Ref: ref, BaseModel: c.Model, Source: c.Source})
	return t.reportChange(ctx, result, err)
}

func (c *adapterList) run(ctx context.Context, t *tool) error {
	all, err := t.client.Adapters(ctx, c.Prefix)
	if err != nil {
		return err
	}
	t.show(all, func() {
		rows := make([][]string, 0, len(all))
		for _, a := range all {
			rows = append(rows, []string{a.Ref.String(), a.BaseModel, a.Source, yesOrEmpty(a.Retired)})
		}
		t.table("ADAPTER,BASE MODEL,SOURCE,RETIRED", rows)
	})
	return nil
}

func (c *adapterRetire) run(ctx context.Context, t *tool) error {
	ref, err := parseRef(c.Ref)
	if err != nil {
		return err
	}
	result, err := t.client.RetireAdapter(ctx, ref)
	return t.reportChange(ctx, result, err)
}

type modelCommand struct {
	Add  *modelAdd  `arg:"subcommand:add" help:"add a base model"`
	List *modelList `arg:"subcommand:list" help:"list base models"`
}

type modelAdd struct {
	Name string `arg:"positional,required"`
}

type modelList struct{}

func (c *modelAdd) run(ctx context.Context, t *tool) error {
	result, err := t.client.PutModel(ctx, catalogue.Model{Name: c.Name})
	return t.reportChange(ctx, result, err)
}

func (*modelList) run(ctx context.Context, t *tool) error {
	all, err := t.client.Models(ctx)
	if err != nil {
		return err
	}
	t.show(all, func() {
		rows := make([][]string, 0, len(all))
		for _, model := range all {
			rows = append(rows, []string{model.Name})
		}
		t.table("BASE MODEL", rows)
	})
	return nil
}

type serviceCommand struct {
	Put  *servicePut  `arg:"subcommand:put" help:"create or change a plain service"`
	List *serviceList `arg:"subcommand:list" help:"list plain services"`
	Get  *serviceGet  `arg:"subcommand:get" help:"show a plain service as JSON"`
}

type servicePut struct {
	File     string  `arg:"positional,required" help:"service as JSON with comments; - for standard input"`
	Revision *uint64 `arg:"--revision" help:"revision that the change is based on; defaults to the current revision"`
}

type serviceList struct{}

type serviceGet struct {
	Name string `arg:"positional,required"`
}

func (c *servicePut) run(ctx context.Context, t *tool) error {
	var next catalogue.Service
	if err := readFile(c.File, &next); err != nil {
		return err
	}
	if next.Revision == 0 {
		current, err := t.client.Service(ctx, next.Name)
		if err != nil && !errors.Is(err, operator.ErrNotFound) {
			return err
		}
		next.Revision = current.Revision
	}
	setIfGiven(&next.Revision, c.Revision)
	result, err := t.client.PutService(ctx, next)
	return t.reportChange(ctx, result, err)
}

func (*serviceList) run(ctx context.Context, t *tool) error {
	all, err := t.client.Services(ctx)
	if err != nil {
		return err
	}
	t.show(all, func() {
		var rows [][]string
		for _, service := range all {
			for _, route := range service.Routes {
				rows = append(rows, []string{
					service.Name, fmt.Sprint(service.Revision), route.Method, route.PathPrefix, yesOrEmpty(route.Idempotent), yesOrEmpty(route.RequireKey),
				})
			}
		}
		t.table("SERVICE,REVISION,METHOD,PATH PREFIX,IDEMPOTENT,KEY REQUIRED", rows)
	})
	return nil
}

func (c *serviceGet) run(ctx context.Context, t *tool) error {
	found, err := t.client.Service(ctx, c.Name)
	if err == nil {
		writeJSON(t.out, found)
	}
	return err
}
