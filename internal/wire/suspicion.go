package wire

import "github.com/rosemarypass/rosemarypass/coord/suspicion"

// MethodSuspect takes a Suspicion message from an agent or entry.
const MethodSuspect = "suspicion.apply"

// HTTP headers between entry and agent about crashing requests.
const (
	// HeaderFingerprint identifies a request by contract, model and body.
	HeaderFingerprint = "Rosemarypass-Fingerprint"
	// HeaderAlone asks the agent to run the request with no neighbours.
	HeaderAlone = "Rosemarypass-Alone"
	// HeaderCrashed tells the entry that the server crashed while the request
	// was on it.
	HeaderCrashed = "Rosemarypass-Crashed"
)

// Suspicion is one command about requests that crash their servers. Sending it
// again is safe: it names its crash or its trial.
type Suspicion struct {
	Command suspicion.Command `json:"command"`
}

// SuspicionReply answers Suspicion once the command is in the replicated log.
type SuspicionReply struct {
	Verdict suspicion.Verdict `json:"verdict"`
}
