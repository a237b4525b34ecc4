package telemetry

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// Condition logs the begin and the end of a condition that is observed many times, in one line each.
type Condition struct {
	log          *zap.Logger
	began, ended string
	// calmAfter is how long the condition must not have been observed to have ended.
	calmAfter time.Duration

	mu       sync.Mutex
	observed int
	calm     *time.Timer
}

// NewCondition returns a condition with the texts of its two lines.
func NewCondition(log *zap.Logger, began, ended string, calmAfter time.Duration) *Condition {
	return &Condition{log: log, began: began, ended: ended, calmAfter: calmAfter}
}

// Observe records that the condition holds. It returns true, and logs the fields, if it did not hold before.
func (c *Condition) Observe(fields ...zap.Field) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observed++
	if c.observed > 1 {
		c.calm.Reset(c.calmAfter)
		return false
	}
	c.log.Warn(c.began, fields...)
	c.calm = time.AfterFunc(c.calmAfter, c.end)
	return true
}

func (c *Condition) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.Info(c.ended, zap.Int("times", c.observed))
	c.observed = 0
}
