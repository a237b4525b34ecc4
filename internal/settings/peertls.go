package settings

// PeerTLS holds the paths of the files that secure traffic between the system's
// processes. All are in PEM format and are reloaded when they change.
type PeerTLS struct {
	// Certificate is the file of this instance's certificate chain. The
	// certificate must contain the instance's IP address.
	Certificate string `json:"certificate"`
	// Key is the file of the certificate's private key.
	Key string `json:"key"`
	// Authority is the file of the CA certificates. The authority must sign
	// certificates for the system's processes only.
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
