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
	Retire *contractRetire `arg:"subcommand:retire" help:"end a contract for good"`
}

// clauses are the flags of a contract's fields.
type clauses struct {
	File              string         `arg:"--file" help:"whole contract as JSON with comments; - for standard input"`
	RequestsPerSecond *float64       `arg:"--rate" help:"requests a second"`
	TokensPerMinute   *int64         `arg:"--tokens-per-minute" help:"prompt and generated tokens a minute"`
	Concurrency       *int           `arg:"--concurrency" help:"requests in flight"`
	MaxWait           *time.Duration `arg:"--max-wait" help:"longest wait of a request"`
	Adapters          []string       `arg:"--adapter,separate" help:"allowed adapter, a trailing * for a prefix; repeatable"`
	Services          []string       `arg:"--service,separate" help:"allowed service; repeatable"`
	Priority          *int           `arg:"--priority" help:"priority at engines"`
	Share             *int           `arg:"--share" help:"weight when capacity is short"`
}

type contractCreate struct {
	ID string `arg:"positional,required"`
	clauses
}

type contractGet struct {
	ID string `arg:"positional,required"`
}

type contractList struct{}

type contractChange struct {
	ID       string  `arg:"positional,required"`
	Revision *uint64 `arg:"--revision" help:"revision that the change is based on; the present one when left out"`
	clauses
}

type contractRetire struct {
	ID       string  `arg:"positional,required"`
	Revision *uint64 `arg:"--revision" help:"revision that the change is based on; the present one when left out"`
}

func set[T any](field *T, flag *T) {
	if flag != nil {
		*field = *flag
	}
}

// apply lays the flags over a contract.
func (c clauses) apply(to *contract.Contract) {
	set(&to.Limits.RequestsPerSecond, c.RequestsPerSecond)
	set(&to.Limits.TokensPerMinute, c.TokensPerMinute)
	set(&to.Limits.Concurrency, c.Concurrency)
	set(&to.Limits.MaxWait, c.MaxWait)
	set(&to.Priority, c.Priority)
	set(&to.Share, c.Share)
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
	return t.finish(ctx, result, err)
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
				strings.Join(c.Adapters, ","), strings.Join(c.Services, ","), yes(c.Retired),
			})
		}
		t.table("CONTRACT,REVISION,RATE,TOKENS/MIN,CONCURRENCY,MAX WAIT,SHARE,KEYS,ADAPTERS,SERVICES,RETIRED", rows)
	})
	return nil
}

// run lays the flags or the file over the contract as it stands. The revision
// is the file's when it names one, else the one just read.
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
			return errors.Wrapf(errUsage, "the file holds contract %s", next.ID)
		}
		if next.Revision == 0 {
			next.Revision = current.Revision
		}
	}
	c.apply(&next)
	next.ID = c.ID
	set(&next.Revision, c.Revision)
	result, err := t.client.PutContract(ctx, next)
	return t.finish(ctx, result, err)
}

func (c *contractRetire) run(ctx context.Context, t *tool) error {
	next, err := t.client.Contract(ctx, c.ID)
	if err != nil {
		return err
	}
	next.Retired = true
	set(&next.Revision, c.Revision)
	result, err := t.client.PutContract(ctx, next)
	return t.finish(ctx, result, err)
}

func yes(value bool) string {
	if value {
		return "yes"
	}
	return ""
}
