package loopback_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/loopback"
)

func TestAddressesAreDistinctAndFree(t *testing.T) {
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

// The address of a Refuser refuses connections, and no other listener can bind to it.
func TestRefuserRefusesConnections(t *testing.T) {
	refuser, err := loopback.NewRefuser()
	if err != nil {
		t.Fatal(err)
	}
	defer refuser.Close()
	if _, err := net.Dial("tcp", refuser.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial %s: got %v, want ECONNREFUSED", refuser.Address(), err)
	}
	if listener, err := net.Listen("tcp", refuser.Address()); err == nil {
		_ = listener.Close()
		t.Errorf("another listener could bind to %s while it was held", refuser.Address())
	}
}
