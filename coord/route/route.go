// Package route defines the routing configuration: routes by host and path
// prefix, the services that they lead to, and the limits on requests. A Document
// is validated as a whole before it is accepted; a Table looks up the route of a
// request.
package route

import "time"

// Kind determines whether requests of a route may be repeated.
type Kind string

const (
	// KindSafe marks requests that may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe marks requests that run at most once for each attempt of a
	// caller.
	KindUnsafe Kind = "unsafe"
	// KindStream marks requests that are answered by a series of events. They run
	// at most once unless the route is resumable.
	KindStream Kind = "stream"
)

// Route maps requests with a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request may wait.
	Timeout time.Duration
	// Target is the desired time to the answer, or to the first event of a
	// stream.
	Target time.Duration
	// Gap is the desired maximum pause between two events of a stream.
	Gap time.Duration
	// Priority is the rank among requests; 0 is served first.
	Priority int
	// Split lists the services with their weights; at least one is above 0.
	Split []Share
	// Attempts is the maximum number of backend servers that may run one
	// request.
	Attempts int
	// Open is set where callers need no key.
	Open bool
	// Resumable reports whether a stream may continue on another server after its
	// last event.
	Resumable bool
}

// Share is a service's share of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConns is the number of connections that one server accepts from all
	// callers.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Batch is the maximum number of requests that one engine runs at once.
	Batch int
	// MemoryTokens is the capacity, in tokens, shared by running requests and
	// cached prompt prefixes.
	MemoryTokens int
	// AdapterSlots is the maximum number of adapters that one engine holds.
	AdapterSlots int
	// MemoryMB is the memory for weights and adapters, in megabytes.
	MemoryMB float64
	// LoadsPerSecond is the maximum rate of weight loads from the store, over all
	// engines.
	LoadsPerSecond float64
	Models         []Model
}

// Model returns the model with the given name, or the zero value if there is none.
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
	// LoadTime is the duration of a load from the store, DiskTime that of a load
	// from an engine's own disk.
	LoadTime time.Duration
	DiskTime time.Duration
}

// Bounds limit what a caller may send.
type Bounds struct {
	// HeaderBytes and BodyBytes are the maximum sizes of the header and the body.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the maximum time to receive the header, IdleTimeout the
	// maximum time that a persistent connection may stay unused.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of the complete configuration.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Bounds   Bounds
	// Teams hold the keys of the callers. HasTeams is set where the configuration names teams, even none:
	// requests on routes that are not open then need a key.
	Teams    []Team
	HasTeams bool
}
