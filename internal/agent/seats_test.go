package agent

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/fairqueue"
	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// testWithSeats runs a test with a seat loop and virtual time.
func testWithSeats(t *testing.T, limit, capacity int, test func(t *testing.T, s *seats)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSeats(limit, func() int { return capacity })
		ctx, cancel := context.WithCancel(t.Context())
		go s.run(ctx)
		test(t, s)
		cancel()
		synctest.Wait()
	})
}

func seatItem(id fairqueue.ID, contract string, share int, wait time.Duration) fairqueue.Item {
	return fairqueue.Item{ID: id, Contract: contract, Share: share, Cost: 100, Deadline: time.Now().Add(wait)}
}

// Capacity is scarce and one contract sends ten times as many requests as each
// other contract. In the engine's own queue it would get ten times as much
// service.
func TestSeatsAreGrantedByShare(t *testing.T) {
	testWithSeats(t, 10_000, 4, func(t *testing.T, s *seats) {
		shares := map[string]int{"one": 1, "two": 2, "four": 4}
		offered := map[string]int{"one": 3000, "two": 300, "four": 300}
		served := make(map[string]int)
		results := make(chan string, 10_000)
		id := fairqueue.ID(0)
		for contract, n := range offered {
			for range n {
				id++
				item := seatItem(id, contract, shares[contract], time.Hour)
				go func() {
					if s.acquire(t.Context(), item) == nil {
						time.Sleep(time.Second)
						s.release(item.ID)
						results <- contract
					}
				}()
			}
		}
		for range 350 {
			served[<-results]++
		}
		if served["one"] < 45 || served["one"] > 55 || served["two"] < 95 || served["two"] > 105 || served["four"] < 195 || served["four"] > 205 {
			t.Errorf("served %v of 350, want shares 1:2:4", served)
		}
		// Let the remaining requests run, so that every goroutine ends.
		for range 3600 - 350 {
			<-results
		}
	})
}

// A request waits for a seat until its contract's maximum wait has passed. It
// must be refused at exactly that time and hold no seat afterwards.
func TestSeatWaitIsBounded(t *testing.T) {
	testWithSeats(t, 10, 1, func(t *testing.T, s *seats) {
		// Capacity 1 has one spare seat.
		for id := range fairqueue.ID(2) {
			if err := s.acquire(t.Context(), seatItem(id, "a", 1, time.Hour)); err != nil {
				t.Fatal(err)
			}
		}
		began := time.Now()
		err := s.acquire(t.Context(), seatItem(2, "a", 1, 1500*time.Millisecond))
		var waitErr *waitError
		if !errors.As(err, &waitErr) || waitErr.reason != fairqueue.ReasonExpired {
			t.Errorf("got %v, want an expired wait", err)
		}
		if waited := time.Since(began); waited != 1500*time.Millisecond {
			t.Errorf("waited %v, want 1.5s", waited)
		}
		ctx, cancelWait := context.WithCancel(t.Context())
		left := make(chan error)
		go func() { left <- s.acquire(ctx, seatItem(3, "a", 1, time.Hour)) }()
		synctest.Wait()
		cancelWait()
		if err := <-left; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want context.Canceled", err)
		}
		s.release(0)
		if err := s.acquire(t.Context(), seatItem(4, "a", 1, time.Second)); err != nil {
			t.Errorf("seat of a cancelled request is not free: %v", err)
		}
	})
}

func TestQueueItemFromHeaders(t *testing.T) {
	header := make(http.Header)
	now := time.Now()
	if item := queueItem(header, 1, now); item.Share != 1 || item.Cost != defaultCost || !item.Deadline.Equal(now.Add(defaultMaxWait)) {
		t.Errorf("without headers: got %+v, want the defaults", item)
	}
	header.Set(wire.HeaderContract, "dabke")
	header.Set(wire.HeaderShare, "4")
	header.Set(wire.HeaderPriority, "7")
	header.Set(wire.HeaderCost, "1200")
	header.Set(wire.HeaderMaxWait, "2500")
	want := fairqueue.Item{ID: 1, Contract: "dabke", Share: 4, Priority: 7, Cost: 1200, Deadline: now.Add(2500 * time.Millisecond)}
	if item := queueItem(header, 1, now); item != want {
		t.Errorf("got %+v, want %+v", item, want)
	}
}
