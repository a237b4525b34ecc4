package upstream

import (
	"testing"
	"time"
)

// Guards against a connection that is kept past its server's idle timeout, because the time for which it was held without a call is not counted.
func TestHeldConnectionExpiresFromItsOpening(t *testing.T) {
	const held = 20 * time.Millisecond
	target, _ := startServer(t)
	pool := NewPool(testTimeout, NewMemory(0))
	idling, err := pool.Dial(t.Context(), target)
	if err != nil {
		t.Fatal(err)
	}
	opened := time.Now()
	time.Sleep(held)
	idling.Release()
	if late := idling.conn.expires.Sub(opened.Add(defaultIdle)); late > 0 {
		t.Errorf("the connection expires %s too late", late)
	}
}
