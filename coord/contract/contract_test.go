package contract_test

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

func sample() contract.Contract {
	return contract.Contract{
		ID:       "dabke",
		Adapters: []string{"*"},
		Services: []string{"booking-desk"},
		Limits:   contract.Limits{RequestsPerSecond: 10, TokensPerMinute: 60_000, Concurrency: 8, MaxWait: time.Second},
		Share:    2,
	}
}

func TestValidateRejectsValuesOutOfBounds(t *testing.T) {
	if err := sample().Validate(); err != nil {
		t.Fatalf("the sample contract is invalid: %v", err)
	}
	cases := []struct {
		clause string
		change func(*contract.Contract)
	}{
		{"contract id", func(c *contract.Contract) { c.ID = "a b" }},
		{"requestsPerSecond", func(c *contract.Contract) { c.Limits.RequestsPerSecond = 0 }},
		{"requestsPerSecond", func(c *contract.Contract) { c.Limits.RequestsPerSecond = math.NaN() }},
		{"requestsPerSecond", func(c *contract.Contract) { c.Limits.RequestsPerSecond = math.Inf(1) }},
		{"tokensPerMinute", func(c *contract.Contract) { c.Limits.TokensPerMinute = -1 }},
		{"tokensPerMinute", func(c *contract.Contract) { c.Limits.TokensPerMinute = math.MaxInt64 }},
		{"concurrency", func(c *contract.Contract) { c.Limits.Concurrency = 0 }},
		{"concurrency", func(c *contract.Contract) { c.Limits.Concurrency = math.MaxInt }},
		{"maxWait", func(c *contract.Contract) { c.Limits.MaxWait = 30 }},
		{"maxWait", func(c *contract.Contract) { c.Limits.MaxWait = time.Hour }},
		{"priority", func(c *contract.Contract) { c.Priority = -1 }},
		{"priority", func(c *contract.Contract) { c.Priority = 101 }},
		{"share", func(c *contract.Contract) { c.Share = 0 }},
		{"share", func(c *contract.Contract) { c.Share = 1001 }},
		{"adapters", func(c *contract.Contract) { c.Adapters = []string{"quote-draft", ""} }},
		{"adapters", func(c *contract.Contract) { c.Adapters = []string{"quote*draft"} }},
		{"adapters", func(c *contract.Contract) { c.Adapters = make([]string, contract.MaxPatterns+1) }},
		{"services", func(c *contract.Contract) { c.Services = []string{"booking desk"} }},
	}
	for _, c := range cases {
		broken := sample()
		c.change(&broken)
		err := broken.Validate()
		if err == nil || !strings.Contains(err.Error(), c.clause) {
			t.Errorf("%+v: got %v, want an error that names %s", broken.Limits, err, c.clause)
		}
	}
}

func TestPatterns(t *testing.T) {
	cases := []struct {
		patterns []string
		name     string
		allowed  bool
	}{
		{nil, "quote-draft", false},
		{[]string{"*"}, "quote-draft", true},
		{[]string{"quote-draft"}, "quote-draft", true},
		{[]string{"quote-draft"}, "quote-draft-2", false},
		{[]string{"shift", "quote-*"}, "quote-draft", true},
		{[]string{"quote-*"}, "quote", false},
	}
	for _, c := range cases {
		agreed := contract.Contract{Adapters: c.patterns, Services: c.patterns}
		if agreed.AllowsAdapter(c.name) != c.allowed || agreed.AllowsService(c.name) != c.allowed {
			t.Errorf("%v allows %s: want %t", c.patterns, c.name, c.allowed)
		}
	}
}

func TestEquivalentContractsHaveSameCanonicalForm(t *testing.T) {
	a, b := sample(), sample()
	a.Adapters = []string{"quote-draft", "costume-advice", "quote-draft"}
	b.Adapters = []string{"costume-advice", "quote-draft"}
	a.KeyHashes, b.KeyHashes = []string{}, nil
	before := slices.Clone(a.Adapters)
	if diff := cmp.Diff(a.Canonical(), b.Canonical()); diff != "" {
		t.Error(diff)
	}
	if !slices.Equal(a.Adapters, before) {
		t.Error("the argument was changed")
	}
}
