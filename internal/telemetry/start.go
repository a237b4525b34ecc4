package telemetry

import (
	"expvar"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// Start records when a process reached each step between its start and the first request that it serves.
type Start struct {
	began time.Time

	mu    sync.Mutex
	steps []*StartStep
}

// StartStep is one step. Its gauge is the time from the start of the process to the step in milliseconds, at least 1;
// it is 0 until the step is reached.
type StartStep struct {
	start   *Start
	name    string
	gauge   *expvar.Int
	reached atomic.Bool
}

// processStart is the start of this process.
var processStart = &Start{began: time.Now()}

// ProcessStart returns the start of this process.
func ProcessStart() *Start { return processStart }

// Step adds a step that is shown by the given gauge.
func (s *Start) Step(name string, gauge *expvar.Int) *StartStep {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := &StartStep{start: s, name: name, gauge: gauge}
	s.steps = append(s.steps, step)
	return step
}

// Reach records that the step was reached, the first time that it is called. A nil step records nothing.
func (s *StartStep) Reach() {
	if s == nil || s.reached.Load() || s.reached.Swap(true) {
		return
	}
	s.gauge.Set(max(time.Since(s.start.began).Milliseconds(), 1))
}

// Since returns the time since the step was reached; ok is false if it was not.
func (s *StartStep) Since(now time.Time) (since time.Duration, ok bool) {
	reached := s.gauge.Value()
	return now.Sub(s.start.began) - time.Duration(reached)*time.Millisecond, reached > 0
}

// Fields returns the milliseconds to each step that was reached, and the processor time that the process has used.
func (s *Start) Fields() []zap.Field {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fields []zap.Field
	for _, step := range s.steps {
		if millis := step.gauge.Value(); millis > 0 {
			fields = append(fields, zap.Int64(step.name, millis))
		}
	}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
		fields = append(fields, zap.Int64("processorMillis", used.Milliseconds()))
	}
	return fields
}
