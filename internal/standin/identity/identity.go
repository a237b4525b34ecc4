// Package identity issues certificates for processes on loopback, as an operator does.
package identity

import (
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/peertls"
	"github.com/rosemarypass/rosemarypass/internal/pki"
)

// lifetime is how long the certificates are valid.
const lifetime = time.Hour

// Write writes the certificate of a new authority, and a certificate and key that it issues for
// 127.0.0.1, to a folder. Errors are those of package os.
func Write(folder string) (peertls.Files, error) {
	authority, err := pki.NewAuthority("stand-in", time.Now(), lifetime)
	if err != nil {
		return peertls.Files{}, err
	}
	instance, err := pki.Issue(authority, "instance", []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now(), lifetime)
	if err != nil {
		return peertls.Files{}, err
	}
	files := peertls.Files{
		Certificate: filepath.Join(folder, "instance.pem"),
		Key:         filepath.Join(folder, "instance-key.pem"),
		Authority:   filepath.Join(folder, "authority.pem"),
	}
	for path, data := range map[string][]byte{files.Certificate: instance.Certificate, files.Key: instance.Key, files.Authority: authority.Certificate} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return peertls.Files{}, err
		}
	}
	return files, nil
}
