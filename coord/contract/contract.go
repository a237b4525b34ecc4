// Package contract defines a customer's contract, which is the only source of the
// limits that apply to the customer.
package contract

import (
	"slices"
	"strings"
	"time"
)

// Limits bound a customer's use across all entries.
type Limits struct {
	// RequestsPerSecond is the maximum sustained rate of admitted requests.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	// TokensPerMinute bounds the sum of prompt and generated tokens.
	TokensPerMinute int64 `json:"tokensPerMinute"`
	// Concurrency is the maximum number of requests in flight.
	Concurrency int `json:"concurrency"`
	// MaxWait is the maximum time that a request may wait before it is refused.
	// In JSON it is a string with a unit, such as "10s".
	MaxWait time.Duration `json:"maxWait"`
}

// Clause names one limit of a contract, as shown to callers and operators.
type Clause string

// The clauses that can refuse a request.
const (
	ClauseRequestsPerSecond Clause = "requestsPerSecond"
	ClauseTokensPerMinute   Clause = "tokensPerMinute"
	ClauseConcurrency       Clause = "concurrency"
	ClauseMaxWait           Clause = "maxWait"
	ClauseRetired           Clause = "retired"
)

// Contract is the agreement with one customer.
type Contract struct {
	// ID identifies the contract. It never changes.
	ID string `json:"id"`
	// Revision is the log index of the change that wrote this state. A writer
	// must specify the revision that it read.
	Revision uint64 `json:"revision"`
	// Created is the log index of the change that created the contract. It is
	// set by the replicated state.
	Created uint64 `json:"created,omitempty"`
	// KeyHashes are the hex-encoded SHA-256 digests of the caller keys.
	KeyHashes []string `json:"keyHashes"`
	// Adapters lists the allowed adapter names. A trailing '*' allows all names
	// with that prefix.
	Adapters []string `json:"adapters"`
	// Services lists the allowed plain services by the same rule.
	Services []string `json:"services"`
	Limits   Limits   `json:"limits"`
	// Priority is from 0 to MaxPriority. Waiting requests of higher priority are
	// served sooner, within the shares. Priority is also passed on to engines.
	Priority int `json:"priority"`
	// Share is the weight in fair queueing when capacity is scarce, from 1 to MaxShare.
	Share int `json:"share"`
	// Retired is true if the contract is no longer in force. A retired contract
	// admits no requests and keeps its ID.
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
