package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/placement"
)

type serverAdvice struct{}

func (*serverAdvice) run(ctx context.Context, t *tool) error {
	advice, err := t.client.Advice(ctx)
	if err != nil {
		return err
	}
	t.show(advice, func() { t.showAdvice(advice) })
	return nil
}

func (t *tool) showAdvice(advice []placement.Advice) {
	rows := make([][]string, 0, len(advice))
	for _, a := range advice {
		rows = append(rows, []string{
			string(a.Kind), a.Group, fmt.Sprint(a.Servers), fmt.Sprint(a.Needed), fmt.Sprint(a.Spare),
			fmt.Sprint(a.PeakInFlight), fmt.Sprint(a.PeakPinned), string(a.Limit),
			a.Observed.Round(time.Minute).String(), fmt.Sprint(len(a.Stoppable)), strings.Join(a.Stoppable, " "),
		})
	}
	t.table("KIND,GROUP,SERVERS,NEEDED,SPARE,PEAK REQUESTS,PEAK SLOTS,LIMIT,OBSERVED,STOPPABLE,STOP FIRST", rows)
}
