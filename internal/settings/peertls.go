package settings

// PeerTLS names the files that secure traffic between the system's processes.
// All are PEM and are read again when they change.
type PeerTLS struct {
	// Certificate is this instance's certificate chain; it must hold the
	// instance's IP number.
	Certificate string `json:"certificate"`
	// Key is the certificate's private key.
	Key string `json:"key"`
	// Authority holds the certificates of the authority that signs the
	// system's processes, and no one else.
	Authority string `json:"authority"`
}

func (t *PeerTLS) check(p *problems) {
	files := []struct{ path, value string }{
		{"peerTLS.certificate", t.Certificate},
		{"peerTLS.key", t.Key},
		{"peerTLS.authority", t.Authority},
	}
	for _, file := range files {
		if file.value == "" {
			p.add(file.path, "the path of a PEM file is required")
		}
	}
}
