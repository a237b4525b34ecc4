package contract

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// Bounds of the clauses. They are far beyond any deployment that the system is
// designed for, and reject operator mistakes such as nanoseconds for seconds.
const (
	MinRequestsPerSecond = 0.001
	MaxRequestsPerSecond = 1e6
	MaxTokensPerMinute   = 1_000_000_000_000
	MaxConcurrency       = 1_000_000
	MinMaxWait           = time.Millisecond
	MaxMaxWait           = 10 * time.Minute
	MaxPriority          = 100
	MaxShare             = 1000
	// MaxPatterns bounds the number of patterns in Adapters and in Services.
	MaxPatterns = 10_000
)

// Validate returns an error for the first rule that the contract violates.
func (c Contract) Validate() error {
	if err := catalogue.CheckName(c.ID); err != nil {
		return errors.Wrap(err, "contract id")
	}
	checks := []error{
		checkRange(ClauseRequestsPerSecond, c.Limits.RequestsPerSecond, MinRequestsPerSecond, MaxRequestsPerSecond),
		checkRange(ClauseTokensPerMinute, c.Limits.TokensPerMinute, 1, MaxTokensPerMinute),
		checkRange(ClauseConcurrency, c.Limits.Concurrency, 1, MaxConcurrency),
		checkRange(ClauseMaxWait, c.Limits.MaxWait, MinMaxWait, MaxMaxWait),
		checkRange("priority", c.Priority, 0, MaxPriority),
		checkRange("share", c.Share, 1, MaxShare),
		checkPatterns("adapters", c.Adapters),
		checkPatterns("services", c.Services),
	}
	for _, err := range checks {
		if err != nil {
			return errors.Wrapf(err, "contract %s", c.ID)
		}
	}
	return nil
}

// checkRange returns an error if a value is out of bounds. The comparison is written
// so that it also rejects NaN.
func checkRange[T cmp.Ordered](clause Clause, value, lower, upper T) error {
	if value >= lower && value <= upper {
		return nil
	}
	var zero T
	if value <= zero && lower > zero {
		return errors.Errorf("%s must be above 0", clause)
	}
	return errors.Errorf("%s must be from %v to %v, not %v", clause, lower, upper, value)
}

func checkPatterns(clause Clause, patterns []string) error {
	if len(patterns) > MaxPatterns {
		return errors.Errorf("%s: more than %d patterns", clause, MaxPatterns)
	}
	for _, pattern := range patterns {
		prefix, wildcard := strings.CutSuffix(pattern, "*")
		if wildcard && prefix == "" {
			continue
		}
		if err := catalogue.CheckName(prefix); err != nil {
			return errors.Wrapf(err, "%s: pattern %q", clause, pattern)
		}
	}
	return nil
}

// Canonical returns the contract with its lists sorted and without duplicates, so that
// equivalent contracts are equal.
func (c Contract) Canonical() Contract {
	c.KeyHashes = canonical(c.KeyHashes)
	c.Adapters = canonical(c.Adapters)
	c.Services = canonical(c.Services)
	return c
}

func canonical(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	sorted := slices.Sorted(slices.Values(list))
	return slices.Compact(sorted)
}
