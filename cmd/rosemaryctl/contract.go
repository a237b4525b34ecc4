package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

type contractCommand struct {
	Create *contractCreate `arg:"subcommand:create" help:"create a contract"`
	Get    *contractGet    `arg:"subcommand:get" help:"show a contract as JSON"`
	List   *contractList   `arg:"subcommand:list" help:"list contracts"`
	Change *contractChange `arg:"subcommand:change" help:"change a contract"`
	Retire *contractRetire `arg:"subcommand:retire" help:"permanently end a contract"`
}

// contractFlags are the flags that set a contract's fields.
type contractFlags struct {
	File              string         `arg:"--file" help:"whole contract as JSON with comments; - for standard input"`
	RequestsPerSecond *float64       `arg:"--rate" help:"maximum requests per second"`
	TokensPerMinute   *int64         `arg:"--tokens-per-minute" help:"maximum prompt and generated tokens per minute"`
	Concurrency       *int           `arg:"--concurrency" help:"maximum number of requests in flight"`
	MaxWait           *time.Duration `arg:"--max-wait" help:"maximum time that a request waits"`
	Adapters          []string       `arg:"--adapter,separate" help:"allowed adapter, a trailing * for a prefix; repeatable"`
	Services          []string       `arg:"--service,separate" help:"allowed service; repeatable"`
	Priority          *int           `arg:"--priority" help:"priority at engines"`
	Share             *int           `arg:"--share" help:"weight when capacity is scarce"`
}

type contractCreate struct {
	ID string `arg:"positional,required"`
	contractFlags
}

type contractGet struct {
	ID string `arg:"positional,required"`
}

type contractList struct{}

type contractChange struct {
	ID       string  `arg:"positional,required"`
	Revision *uint64 `arg:"--revision" help:"revision that the change is based on; defaults to the current revision"`
	contractFlags
}

type contractRetire struct {
	ID       string  `arg:"positional,required"`
	Revision *uint64 `arg:"--revision" help:"revision that the change is based on; defaults to the current revision"`
}

func setIfGiven[T any](field *T, flag *T) {
	if flag != nil {
		*field = *flag
	}
}

// apply sets the contract's fields for which flags are given.
func (c contractFlags) apply(to *contract.Contract) {
	setIfGiven(&to.Limits.RequestsPerSecond, c.RequestsPerSecond)
	setIfGiven(&to.Limits.TokensPerMinute, c.TokensPerMinute)
	setIfGiven(&to.Limits.Concurrency, c.Concurrency)
	setIfGiven(&to.Limits.MaxWait, c.MaxWait)
	setIfGiven(&to.Priority, c.Priority)
	setIfGiven(&to.Share, c.Share)
	if c.Adapters != nil {
		to.Adapters = c.Adapters
	}
	if c.Services != nil {
		to.Services = c.Services
	}
}

func (c *contractCreate) run(ctx context.Context, t *tool) error {
	next := contract.Contract{Share: 1}
	if c.File != "" {
		if err := readFile(c.File, &next); err != nil {
			return err
		}
	}
	c.apply(&next)
	next.ID, next.Revision = c.ID, 0
	result, err := t.client.PutContract(ctx, next)
	return t.reportChange(ctx, result, err)
}

func (c *contractGet) run(ctx context.Context, t *tool) error {
	found, err := t.client.Contract(ctx, c.ID)
	if err == nil {
		writeJSON(t.out, found)
	}
	return err
}

func (*contractList) run(ctx context.Context, t *tool) error {
	all, err := t.client.Contracts(ctx)
	if err != nil {
		return err
	}
	t.show(all, func() {
		rows := make([][]string, 0, len(all))
		for _, c := range all {
			rows = append(rows, []string{
				c.ID, fmt.Sprint(c.Revision), fmt.Sprint(c.Limits.RequestsPerSecond), fmt.Sprint(c.Limits.TokensPerMinute),
				fmt.Sprint(c.Limits.Concurrency), c.Limits.MaxWait.String(), fmt.Sprint(c.Share), fmt.Sprint(len(c.KeyHashes)),
				strings.Join(c.Adapters, ","), strings.Join(c.Services, ","), yesOrEmpty(c.Retired),
			})
		}
		t.table("CONTRACT,REVISION,RATE,TOKENS/MIN,CONCURRENCY,MAX WAIT,SHARE,KEYS,ADAPTERS,SERVICES,RETIRED", rows)
	})
	return nil
}

// run applies the flags to the current contract or, with --file, to the contract
// in the file. The revision is that of --revision, else the file's if it names
// one, else that of the contract just read.
func (c *contractChange) run(ctx context.Context, t *tool) error {
	current, err := t.client.Contract(ctx, c.ID)
	if err != nil {
		return err
	}
	next := current
	if c.File != "" {
		next = contract.Contract{}
		if err := readFile(c.File, &next); err != nil {
			return err
		}
		if next.ID != "" && next.ID != c.ID {
			return errors.Wrapf(errUsage, "the file contains contract %s", next.ID)
		}
		if next.Revision == 0 {
			next.Revision = current.Revision
		}
	}
	c.apply(&next)
	next.ID = c.ID
	setIfGiven(&next.Revision, c.Revision)
	result, err := t.client.PutContract(ctx, next)
	return t.reportChange(ctx, result, err)
}

func (c *contractRetire) run(ctx context.Context, t *tool) error {
	next, err := t.client.Contract(ctx, c.ID)
	if err != nil {
		return err
	}
	next.Retired = true
	setIfGiven(&next.Revision, c.Revision)
	result, err := t.client.PutContract(ctx, next)
	return t.reportChange(ctx, result, err)
}

func yesOrEmpty(value bool) string {
	if value {
		return "yes"
	}
	return ""
}
