package settings

import (
	"cmp"
	"slices"
	"time"
)

// Control configures the control role.
type Control struct {
	// PeerListen is the listen address for JSON-RPC.
	PeerListen string `json:"peerListen"`
	// OperatorListen is the listen address for the operators' HTTP interface.
	OperatorListen string `json:"operatorListen"`
	// OperatorKeyHashes are hex SHA-256 digests of operators' keys.
	OperatorKeyHashes []string `json:"operatorKeyHashes"`
	// AnnounceKeyHashes are hex SHA-256 digests of the keys with which backend
	// servers without an agent authenticate when they announce themselves over
	// HTTP.
	AnnounceKeyHashes []string `json:"announceKeyHashes,omitempty"`
	// PeerAddress is the address at which the other control instances reach this
	// one. It must be listed in controlPeers and defaults to peerListen.
	PeerAddress string `json:"peerAddress,omitempty"`
	// DataFolder holds the durable state. If it is empty, the state is kept only
	// in this instance's memory, which is meant for trials.
	DataFolder string `json:"dataFolder"`
	// Bootstrap lets this instance create the replicated log after every other
	// control instance has answered that it has none.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// ServerLease is how long a server stays listed after its last announcement.
	ServerLease Duration `json:"serverLease"`
}

const (
	defaultServerLease = 2500 * time.Millisecond
	// maxServerLease bounds how long a server that left without deregistering is
	// still offered work.
	maxServerLease = 10 * time.Second
)

func (c *Control) setDefaults() {
	c.ServerLease = cmp.Or(c.ServerLease, Duration(defaultServerLease))
	c.PeerAddress = cmp.Or(c.PeerAddress, c.PeerListen)
}

// checkLog checks the settings that the replicated log needs; peers are the
// addresses of all control instances.
func (c *Control) checkLog(p *problems, peers []string) {
	if c.DataFolder == "" {
		if c.Bootstrap {
			p.add("control.bootstrap", "needs control.dataFolder: the replicated log is created on disk")
		}
		return
	}
	p.checkAddress("control.peerAddress", c.PeerAddress)
	if !slices.Contains(peers, c.PeerAddress) {
		p.add("control.peerAddress", c.PeerAddress+" is not in controlPeers: list every control instance there, including this one")
	}
}

func (c *Control) check(p *problems) {
	p.checkAddress("control.peerListen", c.PeerListen)
	p.checkAddress("control.operatorListen", c.OperatorListen)
	if c.PeerListen != "" && c.PeerListen == c.OperatorListen {
		p.add("control.operatorListen", "conflicts with control.peerListen: use a different port for each")
	}
	p.checkHashes("control.operatorKeyHashes", c.OperatorKeyHashes)
	p.checkHashes("control.announceKeyHashes", c.AnnounceKeyHashes)
	p.checkDuration("control.serverLease", c.ServerLease, 2*maxAnnounceInterval, maxServerLease)
}
