package mesh

import "github.com/rosemarypass/rosemarypass/internal/telemetry"

// Steps of the start of a process.
var (
	// peerHeard is reached when another process described itself.
	peerHeard = telemetry.ProcessStart().Step("peerHeard", telemetry.Counter("start_peer_heard_millis"))
	// configHeld is reached when there is a configuration, configConfirmed when it is known to be the newest.
	configHeld      = telemetry.ProcessStart().Step("configurationHeld", telemetry.Counter("start_configuration_held_millis"))
	configConfirmed = telemetry.ProcessStart().Step("configurationConfirmed", telemetry.Counter("start_configuration_confirmed_millis"))
	strikesKnown    = telemetry.ProcessStart().Step("strikesKnown", telemetry.Counter("start_strikes_known_millis"))
)
