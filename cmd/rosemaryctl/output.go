package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"github.com/rosemarypass/rosemarypass/coord/state"
	"github.com/rosemarypass/rosemarypass/internal/operator"
)

func writeJSON(w io.Writer, value any) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// table prints a header, given as comma-separated columns, and rows as an aligned table.
func (t *tool) table(header string, rows [][]string) {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(strings.Split(header, ","), "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

// show prints value as JSON if --json is set and calls printText otherwise.
func (t *tool) show(value any, printText func()) {
	if t.json {
		writeJSON(t.out, value)
		return
	}
	printText()
}

// changeReport is the JSON output of an accepted change.
type changeReport struct {
	state.Result
	Operation string `json:"operation"`
}

// reportChange prints an accepted change and, with --wait, waits until it is in force.
func (t *tool) reportChange(ctx context.Context, result state.Result, err error) error {
	if err != nil {
		return err
	}
	t.show(changeReport{Result: result, Operation: t.client.Operation()}, func() {
		fmt.Fprintf(t.out, "accepted at index %d, operation %s\n", result.Index, t.client.Operation())
	})
	return t.waitInForce(ctx, result.Index)
}

// waitInForce waits, if --wait is set, until the change at an index is in force in
// every live daemon.
func (t *tool) waitInForce(ctx context.Context, index uint64) error {
	if !t.wait || index == 0 {
		return nil
	}
	report, err := t.client.InForce(ctx, index, t.timeout)
	if err != nil {
		return errors.Wrapf(err, "accepted at index %d", index)
	}
	t.show(report, func() { t.showInForce(report) })
	if !report.Done {
		return errNotInForce
	}
	return nil
}

func (t *tool) showInForce(report operator.InForce) {
	if report.Done {
		fmt.Fprintln(t.out, "in force in every living daemon")
	}
	for _, daemon := range report.Waiting {
		fmt.Fprintf(t.out, "waiting for %s, at index %d, %s\n", daemon.Name, daemon.ConfigIndex, daemon.Freshness.Kind)
	}
	for _, daemon := range report.Expired {
		fmt.Fprintf(t.out, "lost: %s, unseen for %s; it admits nothing without a proof\n", daemon.Name, formatDuration(daemon.SinceLastCall))
	}
	for _, instance := range report.Unresponsive {
		fmt.Fprintf(t.out, "control instance %s does not answer; daemons that follow only it are unknown\n", instance)
	}
}

// readFile decodes a file of JSON with comments; path "-" is the standard input.
func readFile(path string, into any) error {
	data, err := readAll(path)
	if err != nil {
		return err
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return errors.Wrap(err, path)
	}
	decoder := json.NewDecoder(strings.NewReader(string(standard)))
	decoder.DisallowUnknownFields()
	return errors.Wrap(decoder.Decode(into), path)
}

func readAll(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	data, err := os.ReadFile(path)
	return data, errors.Wrap(err, "read file")
}
