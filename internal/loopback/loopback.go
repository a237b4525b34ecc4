// Package loopback finds free loopback addresses for processes whose address must
// be known to peers before they listen, as in the demo and in tests.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

// Ports are chosen at random below the ephemeral port range of the system. An
// ephemeral port could be assigned to an outgoing connection between the check
// that it is free and the start of the listener, which would then fail with
// "address already in use".
const (
	firstPort = 12_000
	lastPort  = 32_000
	// maxAttempts is the maximum number of ports tried for one address.
	maxAttempts = 1000
)

// Addresses returns n distinct loopback addresses that are free.
func Addresses(n int) ([]string, error) {
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	addresses := make([]string, 0, n)
	for range n {
		listener, err := listen()
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func listen() (net.Listener, error) {
	for range maxAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return listener, nil
		}
	}
	return nil, errors.New("found no free port on the loopback interface")
}
