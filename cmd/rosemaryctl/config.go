package main

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/operator"
)

type configCommand struct {
	Export *configExport `arg:"subcommand:export" help:"print the whole configuration as JSON"`
	Import *configImport `arg:"subcommand:import" help:"apply the differences from a file; a repeated import changes nothing"`
}

type configExport struct{}

type configImport struct {
	File string `arg:"positional,required" help:"configuration as JSON with comments; - for standard input"`
	All  bool   `arg:"--all" help:"also list unchanged objects"`
}

func (*configExport) run(ctx context.Context, t *tool) error {
	document, err := t.client.Export(ctx)
	if err == nil {
		writeJSON(t.out, document)
	}
	return err
}

func (c *configImport) run(ctx context.Context, t *tool) error {
	var document operator.Document
	if err := readFile(c.File, &document); err != nil {
		return err
	}
	report, err := t.client.Import(ctx, document)
	if err != nil {
		return err
	}
	counts, last := countOutcomes(report)
	t.show(report, func() { t.showImport(report, counts, c.All) })
	if failed := counts[operator.Failed]; failed > 0 {
		return errors.Errorf("%d objects failed; check them and import again", failed)
	}
	return t.waitInForce(ctx, last)
}

func countOutcomes(report []operator.ImportResult) (counts map[operator.Outcome]int, last uint64) {
	counts = make(map[operator.Outcome]int)
	for _, object := range report {
		counts[object.Outcome]++
		last = max(last, object.Index)
	}
	return counts, last
}

func (t *tool) showImport(report []operator.ImportResult, counts map[operator.Outcome]int, all bool) {
	var rows [][]string
	for _, object := range report {
		if all || object.Outcome != operator.Unchanged {
			rows = append(rows, []string{object.Object, string(object.Outcome), object.Error})
		}
	}
	t.table("OBJECT,OUTCOME,ERROR", rows)
	fmt.Fprintf(t.out, "%d written, %d unchanged, %d failed\n",
		counts[operator.Written], counts[operator.Unchanged], counts[operator.Failed])
}
