package wire

import "github.com/rosemarypass/rosemarypass/coord/suspicion"

// MethodSuspect accepts a Suspicion message from an agent or entry.
const MethodSuspect = "suspicion.apply"

// HTTP headers between entry and agent about crashing requests.
const (
	// HeaderFingerprint identifies a request by contract, model and body.
	HeaderFingerprint = "Rosemarypass-Fingerprint"
	// HeaderIsolated asks the agent to run the request with no other request on the
	// engine.
	HeaderIsolated = "Rosemarypass-Alone"
	// HeaderCrashed tells the entry that the server crashed while the request
	// was running on it.
	HeaderCrashed = "Rosemarypass-Crashed"
)

// Suspicion is one command about requests that crash their servers. Resending it
// is safe because the command identifies its crash or trial.
type Suspicion struct {
	Command suspicion.Command `json:"command"`
}

// SuspicionReply answers Suspicion once the command is in the replicated log.
type SuspicionReply struct {
	Verdict suspicion.Verdict `json:"verdict"`
}
