package wait_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/wait"
)

func TestForEndsWithItsTimeOrItsContext(t *testing.T) {
	tests := []struct {
		name          string
		pause, cancel time.Duration
		took          time.Duration
		err           error
	}{
		{"time over", 2 * time.Second, time.Minute, 2 * time.Second, nil},
		{"context over", time.Minute, 2 * time.Second, 2 * time.Second, context.DeadlineExceeded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.cancel)
				defer cancel()
				began := time.Now()
				err := wait.For(ctx, test.pause)
				if took := time.Since(began); took != test.took || !errors.Is(err, test.err) {
					t.Errorf("took %s with %v, want %s with %v", took, err, test.took, test.err)
				}
			})
		})
	}
}
