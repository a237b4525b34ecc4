package gateway

import (
	"time"

	"github.com/rosemarypass/rosemarypass/coord/dispatch"
	"github.com/rosemarypass/rosemarypass/coord/residency"
	"github.com/rosemarypass/rosemarypass/internal/telemetry"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

var (
	// offersCount counts the starts that were offered to agents and replied to.
	// offersDeclinedCount counts those that the agents declined.
	// offersContradictedCount counts the declined ones whose reply reported a delay within
	// the offered limit.
	offersCount             = telemetry.Counter("gateway_offers")
	offersDeclinedCount     = telemetry.Counter("gateway_offers_declined")
	offersContradictedCount = telemetry.Counter("gateway_offers_contradicted")
	// delayGapLatency is how much longer an agent took to grant a start, on an engine
	// that held the adapter, than the least delay that another holder had reported when
	// the engine was chosen.
	delayGapLatency = telemetry.LatencyOf("gateway_delay_gap_millis")
)

// recordOffer counts an agent's reply to an offered start, and raises the floor of its
// delay where a decline contradicts the reported delay. prompt is in tokens.
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
