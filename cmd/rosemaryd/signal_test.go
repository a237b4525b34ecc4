package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Guards against requests that are lost because a stop is asked for while a process that
// already serves has not finished its start: the signal would end it at once. If the
// signal is missed, the test ends with the run's own timeout.
func TestSignalDuringStartStopsGracefully(t *testing.T) {
	// The test's own handler keeps a missed signal from ending the test.
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGTERM)
	defer signal.Stop(received)
	stops := 0
	start := func() (stopFunc, error) {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			return nil, err
		}
		<-received
		return func(ctx context.Context) int {
			stops++
			return 0
		}, nil
	}
	if err := runUntilSignal(time.Minute, start); err != nil || stops != 1 {
		t.Errorf("got %d stops and the error %v, want one stop", stops, err)
	}
}

// Guards against a process that waits for a signal although it could not start.
func TestFailedStartEndsProcess(t *testing.T) {
	failed := func() (stopFunc, error) { return nil, syscall.EADDRINUSE }
	if err := runUntilSignal(time.Minute, failed); err != syscall.EADDRINUSE {
		t.Errorf("got the error %v, want that of the start", err)
	}
}
