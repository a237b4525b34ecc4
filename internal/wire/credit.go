package wire

import "github.com/rosemarypass/rosemarypass/coord/credit"

// MethodExchangeCredit exchanges credit with a pool that the called entry hosts.
const MethodExchangeCredit = "credit.exchange"

// MethodExchangeTurns does so for turns at servers that name a rate.
const MethodExchangeTurns = "turns.exchange"

// CreditExchange is what an entry tells the host of a pool.
type CreditExchange struct {
	// Pool is the number of the pool.
	Pool      int               `json:"pool"`
	Transfers []credit.Transfer `json:"transfers,omitempty"`
}

// CreditReply is the host's answer.
type CreditReply struct {
	Grants []credit.Grant `json:"grants,omitempty"`
	// Wanted lists the teams of the pool that take credit.
	Wanted []string `json:"wanted,omitempty"`
}
