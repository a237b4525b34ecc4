package loopback_test

import (
	"net"
	"testing"

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
