// Package route holds the configuration by which requests find their service:
// routes by host and path prefix, the services they lead to and what bounds
// callers. A Document is checked whole before it is accepted; a Table answers
// which route a request takes.
package route

import "time"

// Kind says what may be repeated on a route.
type Kind string

const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once for each attempt of a caller.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered by a series of events. They run at most
	// once unless the route is resumable.
	KindStream Kind = "stream"
)

// Route leads requests of a host and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request may be kept waiting.
	Timeout time.Duration
	// Target is the time to the answer, or to a stream's first event, that
	// callers hope for.
	Target time.Duration
	// Gap is the longest pause between events that callers hope for.
	Gap time.Duration
	// Priority is the rank among requests; 0 goes first.
	Priority int
	// Split lists the services with their weights; at least one is above 0.
	Split []Share
	// Attempts is the most backend servers that may run one request.
	Attempts int
	// Resumable streams may go on at another server behind the last event.
	Resumable bool
}

// Share is a service's part in a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Service is a set of backend servers that answer alike.
type Service struct {
	Name string
	// MaxConns is how many connections one server accepts from all callers.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Batch is the most requests that one engine runs at once.
	Batch int
	// MemoryTokens is what running requests and kept prompt parts share.
	MemoryTokens int
	// AdapterSlots is the most adapters that one engine holds.
	AdapterSlots int
	// MemoryMB holds weights and adapters.
	MemoryMB float64
	// LoadsPerSecond bounds loads of weights from the store over all engines.
	LoadsPerSecond float64
	Models         []Model
}

// Model returns a model by its name; the zero value when there is none.
func (e *Engine) Model(name string) Model {
	for _, m := range e.Models {
		if m.Name == name {
			return m
		}
	}
	return Model{}
}

// Model is a base model with its adapters.
type Model struct {
	Name      string
	SizeMB    float64
	Adapters  int
	AdapterMB float64
	// LoadTime is what a load from the store takes, DiskTime one from an
	// engine's own disk.
	LoadTime time.Duration
	DiskTime time.Duration
}

// Bounds limit what a caller may send.
type Bounds struct {
	// HeaderBytes and BodyBytes are the largest header and body.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is how long the header may take, IdleTimeout how long a
	// kept connection may stay unused.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one whole configuration.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Bounds   Bounds
}
