package gateway

import (
	"time"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/residency"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	// offersCount counts the starts that were offered to agents, offersDeclinedCount
	// those that the agents declined, and offersContradictedCount those of the declined
	// ones whose reply showed a delay within the offered limit.
	offersCount             = telemetry.Counter("gateway_offers")
	offersDeclinedCount     = telemetry.Counter("gateway_offers_declined")
	offersContradictedCount = telemetry.Counter("gateway_offers_contradicted")
	// delayGapLatency is how much longer an agent took to grant a start, on an engine
	// that held the adapter, than the best other engine that held it would have by the
	// reports known at the choice.
	delayGapLatency = telemetry.LatencyOf("gateway_delay_gap_millis")
)

// recordOffer records an agent's reply to an offered start, and what a decline proves
// of its engine.
func (a *agentClient) recordOffer(p *pick, offered dispatch.Conditions, rank, prompt int, took time.Duration, reply *wire.StartReply) {
	offersCount.Add(1)
	switch {
	case reply.Start && p.Residence == dispatch.Resident && p.hasOther:
		delayGapLatency.Record(took - p.otherDelay)
	case reply.Declined:
		offersDeclinedCount.Add(1)
	}
	if !reply.Declined || reply.Reason != string(residency.ReasonBusy) {
		return
	}
	load := loadOf(&reply.State)
	needsLoad := p.Residence != dispatch.Resident && p.Residence != dispatch.Stale
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.floor.Declined(offered.MaxDelay, load.ReportedDelay(rank, prompt, needsLoad), time.Now()) {
		offersContradictedCount.Add(1)
	}
}
