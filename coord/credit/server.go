package credit

import "time"

// What servers name holds over all entries as teams' limits do, in requests a second, and tighter: a server in need
// bears one and a half times its rate, and five requests more, in any serverWindow. Of what is beyond the rate,
// pools take half a second of it and a request, and what entries hold maxServerHeld of it; a quarter of a second
// and four requests are left for what entries cannot know: how long a request is on its way, and entries that have
// just been added.
const (
	// serverBurst is the burst of a server's rate, as a time at it, beside one request.
	serverBurst   = 500 * time.Millisecond
	maxServerHeld = 1250 * time.Millisecond
	// minServerRate is the rate, in requests a second, at which a server that names less is asked whether it
	// still does: only its answers tell.
	minServerRate = 0.25
)

// OfServer returns the limit of a server that names a rate, in requests a second.
func OfServer(rate float64) Limit {
	rate = max(rate, minServerRate)
	return Limit{Rate: rate, Burst: 1 + rate*serverBurst.Seconds()}
}

// ServerOptions describe how exactly servers' rates must hold: without an overdraft.
func ServerOptions() Options { return Options{MaxHeld: maxServerHeld} }
