package loopback

import (
	"net/netip"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Refuser is an address on this machine that refuses connections for as long as
// it is held. The address of a listener that was closed may go to another
// process at once, which would take the connection.
type Refuser struct {
	socket  int
	address string
}

// Refuse holds an address.
func Refuse() (*Refuser, error) {
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
		return nil, errors.Wrap(err, "read the socket's address")
	}
	bound := name.(*unix.SockaddrInet4)
	return &Refuser{socket: socket, address: netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port)).String()}, nil
}

// Address is the address that is held.
func (r *Refuser) Address() string { return r.address }

// Close lets the address go.
func (r *Refuser) Close() error { return unix.Close(r.socket) }
