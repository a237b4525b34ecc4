// Package service is a small stand-in for a plain service, such as a booking
// service. It records every call that it runs.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// maxBody is the largest accepted body of a call, in bytes.
const maxBody = 1 << 20

// Options configure the stand-in.
type Options struct {
	// CallTime is the duration of a call.
	CallTime time.Duration
}

// Call records one call that the service ran.
type Call struct {
	Method string
	Path   string
	Body   string
	Key    string
}

// Service is the stand-in service.
type Service struct {
	options Options
	mu      sync.Mutex
	calls   []Call
}

// New returns a service without recorded calls.
func New(options Options) *Service { return &Service{options: options} }

// Calls returns the calls that the service ran, in order.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// Receipt is the body of the answer to a call.
type Receipt struct {
	Number int    `json:"number"`
	Path   string `json:"path"`
}

// ServeHTTP records a call and answers it with a Receipt.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call := Call{Method: r.Method, Path: r.URL.Path, Body: string(body), Key: r.Header.Get(wire.HeaderIdempotencyKey)}
	s.mu.Lock()
	s.calls = append(s.calls, call)
	number := len(s.calls)
	s.mu.Unlock()
	time.Sleep(s.options.CallTime)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Receipt{Number: number, Path: r.URL.Path})
}
