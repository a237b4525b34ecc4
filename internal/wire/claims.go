package wire

import "github.com/rosemarypass/rosemarypass/coord/claim"

// MethodClaim accepts a Claim message from an entry.
const MethodClaim = "claims.apply"

// Claim is one command of an entry about a call that must run at most once.
// Resending it is safe because the command identifies its attempt.
type Claim struct {
	Command claim.Command `json:"command"`
}

// ClaimReply answers Claim once the command is in the replicated log.
type ClaimReply struct {
	Reply claim.Reply `json:"reply"`
}
