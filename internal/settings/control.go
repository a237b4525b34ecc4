package settings

import "time"

// Control configures the control role.
type Control struct {
	// PeerListen is the JSON-RPC address.
	PeerListen string `json:"peerListen"`
	// OperatorListen is the operators' HTTP address.
	OperatorListen string `json:"operatorListen"`
	// OperatorKeyHashes are hex SHA-256 digests of operators' keys.
	OperatorKeyHashes []string `json:"operatorKeyHashes"`
	// AnnounceKeyHashes are hex SHA-256 digests of the keys by which backend
	// servers without an agent announce themselves over HTTP.
	AnnounceKeyHashes []string `json:"announceKeyHashes,omitempty"`
	// DataFolder holds the durable state.
	DataFolder string `json:"dataFolder"`
	// ServerLease is how long a server stays listed after its last announcement.
	ServerLease Duration `json:"serverLease"`
}

const (
	defaultServerLease = 2500 * time.Millisecond
	// maxServerLease bounds how long a server that left without a word is
	// still offered work.
	maxServerLease = 10 * time.Second
)

func (c *Control) setDefaults() {
	setDefault(&c.ServerLease, Duration(defaultServerLease))
}

func (c *Control) check(p *problems) {
	p.checkAddress("control.peerListen", c.PeerListen)
	p.checkAddress("control.operatorListen", c.OperatorListen)
	if c.PeerListen != "" && c.PeerListen == c.OperatorListen {
		p.add("control.operatorListen", "clashes with control.peerListen: give each its own port")
	}
	p.checkHashes("control.operatorKeyHashes", c.OperatorKeyHashes)
	p.checkHashes("control.announceKeyHashes", c.AnnounceKeyHashes)
	p.checkDuration("control.serverLease", c.ServerLease, 2*maxAnnounceInterval, maxServerLease)
}
