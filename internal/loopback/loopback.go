// Package loopback finds addresses on this machine for processes whose peers
// must know them before they listen, as in the demo and in tests.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

// Ports are drawn below the range that the system gives to outgoing
// connections. A port of that range could go to any connection between the
// moment when it was found free and the listener's start, and the listener
// would fail with "address already in use".
const (
	firstPort = 12_000
	lastPort  = 32_000
	// tries bounds the search for one address.
	tries = 1000
)

// Addresses returns n different addresses on which nothing listens.
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
	for range tries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return listener, nil
		}
	}
	return nil, errors.New("no port on loopback is free")
}
