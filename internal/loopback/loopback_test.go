package loopback_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/loopback"
)

func TestAddressesAreDifferentAndFree(t *testing.T) {
	addresses, err := loopback.Addresses(50)
	if err != nil {
		t.Fatal(err)
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
	}
}

// An address that is held refuses connections, and nobody else can listen there.
func TestAHeldAddressRefuses(t *testing.T) {
	held, err := loopback.Refuse()
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	if _, err := net.Dial("tcp", held.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a connection to %s: %v", held.Address(), err)
	}
	if listener, err := net.Listen("tcp", held.Address()); err == nil {
		_ = listener.Close()
		t.Errorf("%s could be listened on while it was held", held.Address())
	}
}
