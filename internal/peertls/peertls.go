// Package peertls secures traffic between the system's own processes with mutual
// TLS: both sides present certificates of one private certificate authority. The
// files are reloaded when they change, so that a renewal needs no restart.
package peertls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/telemetry"
)

// reloadInterval is the minimum interval between two checks of the files.
const reloadInterval = time.Second

var (
	reloadCount  = telemetry.Counter("peer_tls_reloads")
	failureCount = telemetry.Counter("peer_tls_reload_failures")
)

// Files holds the paths of PEM files.
type Files struct {
	// Certificate is the instance's certificate chain, Key its private key.
	Certificate string
	Key         string
	// Authority contains the certificates of the signing authority.
	Authority string
}

func (f Files) paths() []string { return []string{f.Certificate, f.Key, f.Authority} }

// Identity is the certificate of an instance and the authority that it trusts. A
// nil Identity means plaintext.
type Identity struct {
	files Files
	now   func() time.Time

	mu        sync.Mutex
	current   material
	modified  []time.Time
	checkedAt time.Time
}

type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Load reads the files. It fails if one is missing or cannot be parsed.
func Load(files Files) (*Identity, error) {
	i := &Identity{files: files, now: time.Now}
	modified, err := modificationTimes(files)
	if err != nil {
		return nil, err
	}
	i.current, err = read(files)
	if err != nil {
		return nil, err
	}
	i.modified, i.checkedAt = modified, i.now()
	return i, nil
}

func read(files Files) (material, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return material{}, errors.Wrap(err, "certificate and key")
	}
	data, err := os.ReadFile(files.Authority)
	if err != nil {
		return material{}, errors.Wrap(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return material{}, errors.Errorf("authority %s holds no certificate", files.Authority)
	}
	return material{certificate: certificate, authority: pool}, nil
}

func modificationTimes(files Files) ([]time.Time, error) {
	var times []time.Time
	for _, file := range files.paths() {
		info, err := os.Stat(file)
		if err != nil {
			return nil, errors.Wrap(err, "peer TLS file")
		}
		times = append(times, info.ModTime())
	}
	return times, nil
}

// latest returns the material of the latest valid files. While files are being
// replaced they may be inconsistent; the last valid material is used until they
// are consistent, so that a renewal cannot disconnect the instance.
func (i *Identity) latest() material {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	if now.Sub(i.checkedAt) < reloadInterval {
		return i.current
	}
	i.checkedAt = now
	modified, err := modificationTimes(i.files)
	if err != nil {
		failureCount.Add(1)
		return i.current
	}
	if equalTimes(modified, i.modified) {
		return i.current
	}
	next, err := read(i.files)
	if err != nil {
		failureCount.Add(1)
		return i.current
	}
	reloadCount.Add(1)
	i.current, i.modified = next, modified
	return i.current
}

func equalTimes(a, b []time.Time) bool {
	for n := range a {
		if !a[n].Equal(b[n]) {
			return false
		}
	}
	return true
}

// ServerConfig returns a server configuration that requires a client certificate
// of the authority.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := i.latest()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{m.certificate},
				ClientCAs:    m.authority,
				ClientAuth:   tls.RequireAndVerifyClientCert,
			}, nil
		},
	}
}

// PublicConfig returns a server configuration that requires no client certificate,
// for listeners that authenticate callers by key.
func (i *Identity) PublicConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			m := i.latest()
			return &m.certificate, nil
		},
	}
}

// ListenPublic wraps a listener with TLS by PublicConfig; a nil Identity returns it
// unchanged.
func (i *Identity) ListenPublic(listener net.Listener) net.Listener {
	if i == nil {
		return listener
	}
	return tls.NewListener(listener, i.PublicConfig())
}

// Listen wraps a listener with TLS by ServerConfig; a nil Identity returns it
// unchanged.
func (i *Identity) Listen(listener net.Listener) net.Listener {
	if i == nil {
		return listener
	}
	return tls.NewListener(listener, i.ServerConfig())
}

// Protect performs the TLS handshake with the peer at address on an open connection. Without an
// identity it returns the connection unchanged. It closes the connection if the handshake fails.
func (i *Identity) Protect(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
	if i == nil {
		return conn, nil
	}
	return i.Secure(ctx, conn, address)
}

// Secure performs the TLS handshake with the peer at address on an open
// connection. It closes the connection if the handshake fails.
func (i *Identity) Secure(ctx context.Context, conn net.Conn, address string) (*tls.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "peer address")
	}
	m := i.latest()
	secure := tls.Client(conn, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authority,
		ServerName:   host,
	})
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "handshake with peer")
	}
	return secure, nil
}

// Scheme returns the URL scheme for HTTP between the system's processes.
func (i *Identity) Scheme() string {
	if i == nil {
		return "http"
	}
	return "https"
}
