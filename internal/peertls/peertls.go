// Package peertls secures traffic between the system's own processes: both
// sides show certificates of one private authority, and the files are read
// again when they change, so that renewal needs no restart.
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

// reloadInterval is the least time between two looks at the files.
const reloadInterval = time.Second

var (
	reloadCount  = telemetry.Counter("peer_tls_reloads")
	failureCount = telemetry.Counter("peer_tls_reload_failures")
)

// Files name PEM files.
type Files struct {
	// Certificate is the instance's chain, Key its private key.
	Certificate string
	Key         string
	// Authority holds the certificates of the signing authority.
	Authority string
}

func (f Files) all() []string { return []string{f.Certificate, f.Key, f.Authority} }

// Identity is one instance's certificate and the authority it trusts. A nil
// Identity stands for plaintext.
type Identity struct {
	files Files
	now   func() time.Time

	mu       sync.Mutex
	current  material
	modified []time.Time
	looked   time.Time
}

type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Load reads the files. It fails when one is missing or does not parse.
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
	i.modified, i.looked = modified, i.now()
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
	for _, file := range files.all() {
		info, err := os.Stat(file)
		if err != nil {
			return nil, errors.Wrap(err, "peer TLS file")
		}
		times = append(times, info.ModTime())
	}
	return times, nil
}

// latest returns the material of the newest readable files. Files that are
// being replaced may not fit together for a moment; the last good material
// serves until they do, so that a renewal cannot cut the instance off.
func (i *Identity) latest() material {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	if now.Sub(i.looked) < reloadInterval {
		return i.current
	}
	i.looked = now
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

// ServerConfig demands a certificate of the authority from every caller.
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

// PublicConfig shows the instance's certificate and asks callers for none, for
// listeners whose callers carry keys.
func (i *Identity) PublicConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			m := i.latest()
			return &m.certificate, nil
		},
	}
}

// ListenPublic wraps a listener with PublicConfig; a nil Identity returns it unchanged.
func (i *Identity) ListenPublic(listener net.Listener) net.Listener {
	if i == nil {
		return listener
	}
	return tls.NewListener(listener, i.PublicConfig())
}

// Listen wraps a listener; a nil Identity returns it unchanged.
func (i *Identity) Listen(listener net.Listener) net.Listener {
	if i == nil {
		return listener
	}
	return tls.NewListener(listener, i.ServerConfig())
}

// Dial connects and completes the handshake; a nil Identity connects in plaintext.
func (i *Identity) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	if i == nil {
		return dialer.DialContext(ctx, network, address)
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return i.Secure(ctx, conn, address)
}

// Secure completes the handshake with the peer at address on a connection that
// is open. It closes the connection when the handshake fails.
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

// Scheme is the URL scheme for HTTP between the system's processes.
func (i *Identity) Scheme() string {
	if i == nil {
		return "http"
	}
	return "https"
}
