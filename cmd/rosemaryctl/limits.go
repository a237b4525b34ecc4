package main

import (
	"context"
	"fmt"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/quota"
	"github.com/rosemarypass/rosemarypass/internal/operator"
)

type limitsCommand struct {
	Contract string `arg:"positional" help:"contract to show; defaults to every contract in use"`
}

func (c *limitsCommand) run(ctx context.Context, t *tool) error {
	limits, err := t.client.Limits(ctx, c.Contract)
	if err != nil {
		return err
	}
	t.show(limits, func() { t.showLimits(limits) })
	return nil
}

func (t *tool) showLimits(limits operator.Limits) {
	rows := make([][]string, 0, len(limits.Contracts))
	for _, c := range limits.Contracts {
		n := float64(c.Limits.Concurrency)
		rows = append(rows, []string{
			c.Contract,
			fmt.Sprint(c.Holders),
			fmt.Sprintf("%g", c.Limits.RequestsPerSecond), percent(c.Leased[quota.RequestRate]), percent(c.Reserve[0]),
			fmt.Sprint(c.Limits.TokensPerMinute), percent(c.Leased[quota.TokenRate]), percent(c.Reserve[1]),
			fmt.Sprint(c.Limits.Concurrency), fmt.Sprintf("%.0f", c.Leased[quota.Slots]*n), fmt.Sprintf("%.0f", c.Busy*n),
			fmt.Sprint(c.Admitted),
			fmt.Sprint(c.Refused[contract.ClauseRequestsPerSecond]),
			fmt.Sprint(c.Refused[contract.ClauseTokensPerMinute]),
			fmt.Sprint(c.Refused[contract.ClauseConcurrency]),
		})
	}
	t.table("CONTRACT,ENTRIES,REQUESTS/S,LEASED,IN RESERVE,TOKENS/MIN,LEASED,IN RESERVE,CONCURRENCY,LEASED,BUSY,ADMITTED,REFUSED RATE,REFUSED TOKENS,REFUSED CONCURRENCY", rows)
}

func percent(part float64) string { return fmt.Sprintf("%.0f%%", 100*part) }
