package main

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/operator"
)

// exitCode is the exit code of the process. The codes are documented in
// docs/operators/exit-codes.md.
type exitCode int

const (
	exitOK             exitCode = 0
	exitFailed         exitCode = 1
	exitUsage          exitCode = 2
	exitConflict       exitCode = 3
	exitInvalid        exitCode = 4
	exitNotFound       exitCode = 5
	exitChangeUnknown  exitCode = 6
	exitUnauthorized   exitCode = 7
	exitNotInForce     exitCode = 8
	exitNotRun         exitCode = 9
	exitOutcomeUnknown exitCode = 10
	exitUnreachable    exitCode = 11
)

// Errors that originate in rosemaryctl itself.
var (
	errNotInForce     = errors.New("accepted, but not in force everywhere yet")
	errNotRun         = errors.New("the request was not run; it may be sent again")
	errOutcomeUnknown = errors.New("the request may or may not have run")
	errUsage          = errors.New("usage")
)

var exitCodes = []struct {
	cause error
	code  exitCode
}{
	{operator.ErrConflict, exitConflict},
	{operator.ErrInvalid, exitInvalid},
	{operator.ErrNotFound, exitNotFound},
	{operator.ErrUnknown, exitChangeUnknown},
	{operator.ErrUnauthorized, exitUnauthorized},
	{operator.ErrUnreachable, exitUnreachable},
	{errNotInForce, exitNotInForce},
	{errNotRun, exitNotRun},
	{errOutcomeUnknown, exitOutcomeUnknown},
	{errUsage, exitUsage},
}

// reportError prints an error with the information that the operator needs to
// proceed, and returns its exit code.
func (t *tool) reportError(err error) exitCode {
	fmt.Fprintln(t.errors, "rosemaryctl:", err)
	t.showCurrentObject(err)
	t.warnUnconfirmed()
	for _, mapping := range exitCodes {
		if !errors.Is(err, mapping.cause) {
			continue
		}
		if mapping.code == exitChangeUnknown {
			fmt.Fprintf(t.errors, "To learn whether the change was accepted, send it again with --operation %s\n", t.client.Operation())
		}
		return mapping.code
	}
	return exitFailed
}

// showCurrentObject prints the current object if another writer changed it first.
func (t *tool) showCurrentObject(err error) {
	var refused *operator.RefusedError
	if !errors.As(err, &refused) || refused.Result.Winner == nil {
		return
	}
	fmt.Fprintln(t.errors, "The current object is:")
	writeJSON(t.errors, refused.Result.Winner)
}

func (t *tool) warnUnconfirmed() {
	if t.client.Unconfirmed() {
		fmt.Fprintln(t.errors, "rosemaryctl: no quorum confirmed this answer; a later change may be missing from it")
	}
}
