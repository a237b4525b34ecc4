package wait_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/wait"
)

func TestFor(t *testing.T) {
	tests := []struct {
		name          string
		pause, cancel time.Duration
		want          time.Duration
		err           error
	}{
		{"pause elapses", 2 * time.Second, time.Minute, 2 * time.Second, nil},
		{"context ends", time.Minute, 2 * time.Second, 2 * time.Second, context.DeadlineExceeded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.cancel)
				defer cancel()
				start := time.Now()
				err := wait.For(ctx, test.pause)
				if took := time.Since(start); took != test.want || !errors.Is(err, test.err) {
					t.Errorf("took %s with %v, want %s with %v", took, err, test.want, test.err)
				}
			})
		})
	}
}
