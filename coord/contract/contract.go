// Package contract holds the aggregate from which every limit of a customer
// follows. No other value in the system refuses a customer.
package contract

import (
	"slices"
	"strings"
	"time"
)

// Limits are the clauses that bound a customer's use across all entries.
type Limits struct {
	// RequestsPerSecond is the sustained rate of admitted requests.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	// TokensPerMinute bounds prompt and generated tokens together.
	TokensPerMinute int64 `json:"tokensPerMinute"`
	// Concurrency is the most requests in flight at once.
	Concurrency int `json:"concurrency"`
	// MaxWait is the longest that a request may wait before it is refused; in
	// JSON it is text with a unit, such as "10s".
	MaxWait time.Duration `json:"maxWait"`
}

// Clause names one limit of a contract, as callers and operators read it.
type Clause string

// The clauses that can refuse a request.
const (
	ClauseRequestsPerSecond Clause = "requestsPerSecond"
	ClauseTokensPerMinute   Clause = "tokensPerMinute"
	ClauseConcurrency       Clause = "concurrency"
	ClauseMaxWait           Clause = "maxWait"
	ClauseRetired           Clause = "retired"
)

// Contract is one customer's agreement.
type Contract struct {
	// ID names the contract; it never changes.
	ID string `json:"id"`
	// Revision is the log index of the change that wrote this state. A
	// writer must name the revision that it read.
	Revision uint64 `json:"revision"`
	// Created is the log index of the change that created the contract; the
	// replicated state sets it.
	Created uint64 `json:"created,omitempty"`
	// KeyHashes are the hex SHA-256 digests of the caller keys.
	KeyHashes []string `json:"keyHashes"`
	// Adapters lists allowed adapter names; a trailing '*' allows a prefix.
	Adapters []string `json:"adapters"`
	// Services lists allowed plain services by the same rule.
	Services []string `json:"services"`
	Limits   Limits   `json:"limits"`
	// Priority is from 0 to MaxPriority; higher is served sooner where
	// requests wait, within the shares, and is passed on to engines.
	Priority int `json:"priority"`
	// Share is the weight in fair queueing when capacity is short, from 1 to MaxShare.
	Share int `json:"share"`
	// Retired contracts admit nothing and keep their ID.
	Retired bool `json:"retired,omitempty"`
}

// AllowsAdapter reports whether the contract covers the adapter.
func (c Contract) AllowsAdapter(name string) bool { return allows(c.Adapters, name) }

// AllowsService reports whether the contract covers the plain service.
func (c Contract) AllowsService(name string) bool { return allows(c.Services, name) }

func allows(patterns []string, name string) bool {
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		prefix, wildcard := strings.CutSuffix(pattern, "*")
		if wildcard {
			return strings.HasPrefix(name, prefix)
		}
		return pattern == name
	})
}
