package peertls

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/pki"
)

var loopback = []net.IP{net.IPv4(127, 0, 0, 1)}

func newAuthority(t *testing.T) pki.Pair {
	t.Helper()
	authority, err := pki.NewAuthority("test", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// writeFiles writes the files of an instance with a certificate signed by signer
// and trusted as its authority.
func writeFiles(t *testing.T, folder string, signer, trusted pki.Pair, addresses []net.IP) Files {
	t.Helper()
	pair, err := pki.Issue(signer, "instance", addresses, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	files := Files{
		Certificate: filepath.Join(folder, "instance.pem"),
		Key:         filepath.Join(folder, "instance-key.pem"),
		Authority:   filepath.Join(folder, "authority.pem"),
	}
	write(t, files.Certificate, pair.Certificate)
	write(t, files.Key, pair.Key)
	write(t, files.Authority, trusted.Certificate)
	return files
}

func write(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func load(t *testing.T, files Files) *Identity {
	t.Helper()
	identity, err := Load(files)
	if err != nil {
		t.Fatal(err)
	}
	return identity
}

// exchange connects client to server and sends data in both directions, so that
// both sides have completed the handshake and verified their peer.
func exchange(t *testing.T, server, client *Identity) error {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	listener := server.Listen(raw)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		buffer := make([]byte, 1)
		if _, err := conn.Read(buffer); err == nil {
			_, _ = conn.Write(buffer)
		}
	}()
	plain, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		return err
	}
	conn, err := client.Protect(t.Context(), plain, raw.Addr().String())
	if err != nil {
		return err
	}
	defer conn.Close()
	// Five bytes are a complete TLS record header, so that a server that expects
	// TLS rejects a plaintext client instead of waiting for more bytes.
	if _, err := conn.Write([]byte("plain")); err != nil {
		return err
	}
	_, err = conn.Read(make([]byte, 1))
	return err
}

func TestMutualAuthentication(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	other := []net.IP{net.IPv4(127, 0, 0, 2)}
	member := load(t, writeFiles(t, t.TempDir(), ours, ours, loopback))
	cases := []struct {
		name           string
		server, client *Identity
		allowed        bool
	}{
		{"both of the same authority", member, member, true},
		{"plaintext on both sides", nil, nil, true},
		{"client of another authority", member, load(t, writeFiles(t, t.TempDir(), theirs, ours, loopback)), false},
		{"server of another authority", load(t, writeFiles(t, t.TempDir(), theirs, ours, loopback)), member, false},
		{"server at another address", load(t, writeFiles(t, t.TempDir(), ours, ours, other)), member, false},
		{"client without TLS", member, nil, false},
	}
	for _, c := range cases {
		err := exchange(t, c.server, c.client)
		if (err == nil) != c.allowed {
			t.Errorf("%s: allowed %t, got %v", c.name, c.allowed, err)
		}
	}
}

// The files are replaced while the daemon runs: first some of them, then all. If
// the daemon used the incomplete set, every peer would reject it until the rest
// arrived, and a renewal would disconnect the instance.
func TestPartialRenewalKeepsOldCertificate(t *testing.T) {
	old, renewed := newAuthority(t), newAuthority(t)
	folder := t.TempDir()
	server := load(t, writeFiles(t, folder, old, old, loopback))
	now := time.Now()
	server.now = func() time.Time { return now }
	oldClient := load(t, writeFiles(t, t.TempDir(), old, old, loopback))
	newClient := load(t, writeFiles(t, t.TempDir(), renewed, renewed, loopback))

	later := now.Add(time.Hour)
	write(t, filepath.Join(folder, "instance.pem"), []byte("half a file"))
	if err := os.Chtimes(filepath.Join(folder, "instance.pem"), later, later); err != nil {
		t.Fatal(err)
	}
	now = now.Add(2 * reloadInterval)
	if err := exchange(t, server, oldClient); err != nil {
		t.Errorf("with partly replaced files: %v", err)
	}

	files := writeFiles(t, folder, renewed, renewed, loopback)
	for _, file := range files.paths() {
		if err := os.Chtimes(file, later, later); err != nil {
			t.Fatal(err)
		}
	}
	now = now.Add(2 * reloadInterval)
	if err := exchange(t, server, newClient); err != nil {
		t.Errorf("after the renewal: %v", err)
	}
	if err := exchange(t, server, oldClient); err == nil {
		t.Error("the old authority is still trusted")
	}
}
