package loopback

import (
	"net/netip"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Refuser holds a loopback address that refuses connections until Close. The
// address of a closed listener could be reassigned immediately to another process,
// which would accept the connection.
type Refuser struct {
	socket  int
	address string
}

// NewRefuser binds a loopback address without listening on it.
func NewRefuser() (*Refuser, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "open socket")
	}
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		_ = unix.Close(socket)
		return nil, errors.Wrap(err, "bind socket")
	}
	name, err := unix.Getsockname(socket)
	if err != nil {
		_ = unix.Close(socket)
		return nil, errors.Wrap(err, "get socket address")
	}
	bound := name.(*unix.SockaddrInet4)
	return &Refuser{socket: socket, address: netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port)).String()}, nil
}

// Address returns the held address.
func (r *Refuser) Address() string { return r.address }

// Close releases the address.
func (r *Refuser) Close() error { return unix.Close(r.socket) }
