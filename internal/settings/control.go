package settings

// Control configures the control role.
type Control struct {
	// PeerListen is the JSON-RPC address.
	PeerListen string `json:"peerListen"`
	// OperatorListen is the operators' HTTP address.
	OperatorListen string `json:"operatorListen"`
	// OperatorKeyHashes are hex SHA-256 digests of operators' keys.
	OperatorKeyHashes []string `json:"operatorKeyHashes"`
	// DataFolder holds the durable state.
	DataFolder string `json:"dataFolder"`
	// ServerLease is how long a server stays listed after its last announcement.
	ServerLease Duration `json:"serverLease"`
}
