package main

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/operator"
)

// exitCode is the process's exit code; docs/operators/exit-codes.md lists them.
type exitCode int

const (
	exitDone         exitCode = 0
	exitFailed       exitCode = 1
	exitUsage        exitCode = 2
	exitConflict     exitCode = 3
	exitInvalid      exitCode = 4
	exitNotFound     exitCode = 5
	exitUnknown      exitCode = 6
	exitUnauthorized exitCode = 7
	exitNotInForce   exitCode = 8
	exitNotRun       exitCode = 9
	exitOutcome      exitCode = 10
	exitUnreachable  exitCode = 11
)

// Errors of the tool itself.
var (
	errNotInForce = errors.New("accepted, but not in force everywhere yet")
	errNotRun     = errors.New("the request was not run; it may be sent again")
	errOutcome    = errors.New("the request may or may not have run")
	errUsage      = errors.New("usage")
)

var exitCodes = []struct {
	cause error
	code  exitCode
}{
	{operator.ErrConflict, exitConflict},
	{operator.ErrInvalid, exitInvalid},
	{operator.ErrNotFound, exitNotFound},
	{operator.ErrUnknown, exitUnknown},
	{operator.ErrUnauthorized, exitUnauthorized},
	{operator.ErrUnreachable, exitUnreachable},
	{errNotInForce, exitNotInForce},
	{errNotRun, exitNotRun},
	{errOutcome, exitOutcome},
	{errUsage, exitUsage},
}

// fail prints an error with what the operator needs next, and returns its code.
func (t *tool) fail(err error) exitCode {
	fmt.Fprintln(t.errors, "rosemaryctl:", err)
	t.showWinner(err)
	t.warnUnconfirmed()
	for _, known := range exitCodes {
		if !errors.Is(err, known.cause) {
			continue
		}
		if known.code == exitUnknown {
			fmt.Fprintf(t.errors, "To learn the fate of a change, send it again with --operation %s\n", t.client.Operation())
		}
		return known.code
	}
	return exitFailed
}

// showWinner prints the object that the other writer left.
func (t *tool) showWinner(err error) {
	var refused *operator.RefusedError
	if !errors.As(err, &refused) || refused.Result.Winner == nil {
		return
	}
	fmt.Fprintln(t.errors, "It now stands as:")
	writeJSON(t.errors, refused.Result.Winner)
}

func (t *tool) warnUnconfirmed() {
	if t.client.Unconfirmed() {
		fmt.Fprintln(t.errors, "rosemaryctl: no quorum confirmed this answer; a later change may be missing from it")
	}
}
