// Package catalogue describes what can be asked for: base models, adapters in
// immutable versions, and plain services with their routes.
package catalogue

import (
	"strings"

	"github.com/pkg/errors"
)

// MaxNameLength bounds every name in the catalogue, in bytes.
const MaxNameLength = 128

// MaxSourceLength bounds an adapter's place in the weight store, in bytes.
const MaxSourceLength = 1024

// Ref names exactly one adapter in exactly one version. Its text form
// "adapter@version" is also the name under which an engine loads it, so an
// engine that lost its adapters in a restart refuses the name instead of
// answering with the base model.
type Ref struct {
	Adapter string
	Version string
}

// String returns "adapter@version".
func (r Ref) String() string { return r.Adapter + "@" + r.Version }

// Compare orders versions by adapter, then by version.
func (r Ref) Compare(o Ref) int {
	if c := strings.Compare(r.Adapter, o.Adapter); c != 0 {
		return c
	}
	return strings.Compare(r.Version, o.Version)
}

// MarshalText implements encoding.TextMarshaler.
func (r Ref) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Ref) UnmarshalText(text []byte) error {
	ref, err := ParseRef(string(text))
	if err != nil {
		return err
	}
	*r = ref
	return nil
}

// ParseRef reads "adapter@version". Both parts must be valid names.
func ParseRef(text string) (Ref, error) {
	adapter, version, found := strings.Cut(text, "@")
	if !found {
		return Ref{}, errors.Errorf("model %q must have the form adapter@version", text)
	}
	if err := CheckName(adapter); err != nil {
		return Ref{}, errors.Wrap(err, "adapter")
	}
	if err := CheckName(version); err != nil {
		return Ref{}, errors.Wrap(err, "version")
	}
	return Ref{Adapter: adapter, Version: version}, nil
}

// CheckName accepts letters, digits, '.', '_' and '-', from 1 to MaxNameLength bytes.
func CheckName(name string) error {
	if name == "" || len(name) > MaxNameLength {
		return errors.Errorf("name %q must have 1 to %d bytes", name, MaxNameLength)
	}
	for _, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '.' && c != '_' && c != '-' {
			return errors.Errorf("name %q may hold only letters, digits, '.', '_' and '-'", name)
		}
	}
	return nil
}

// Model is a base model that adapters were trained for and engines serve.
type Model struct {
	Name string `json:"name"`
}

// Validate reports the first rule that the model breaks.
func (m Model) Validate() error {
	return errors.Wrap(CheckName(m.Name), "base model")
}

// Adapter is one immutable version of a LoRA adapter.
type Adapter struct {
	Ref Ref `json:"ref"`
	// BaseModel is the model that the adapter was trained for.
	BaseModel string `json:"baseModel"`
	// Source is the location in the weight store that engines load from.
	Source string `json:"source"`
	// Retired versions are served no more; their name stays taken.
	Retired bool `json:"retired,omitempty"`
}

// Validate reports the first rule that the adapter breaks.
func (a Adapter) Validate() error {
	if _, err := ParseRef(a.Ref.String()); err != nil {
		return err
	}
	if err := CheckName(a.BaseModel); err != nil {
		return errors.Wrap(err, "base model")
	}
	if a.Source == "" || len(a.Source) > MaxSourceLength {
		return errors.Errorf("adapter %s: its source in the weight store must have 1 to %d bytes", a.Ref, MaxSourceLength)
	}
	return nil
}

// Route declares one class of calls to a plain service.
type Route struct {
	// Method is the HTTP method.
	Method string `json:"method"`
	// PathPrefix is matched below the service's root; the longest match wins.
	PathPrefix string `json:"pathPrefix"`
	// Idempotent says that running a call twice has the effect of running it once.
	Idempotent bool `json:"idempotent"`
	// RequireKey refuses calls that carry no Idempotency-Key.
	RequireKey bool `json:"requireKey,omitempty"`
}

// Service is a plain service beside the engines, such as a booking desk.
type Service struct {
	Name   string  `json:"name"`
	Routes []Route `json:"routes"`
	// Revision is the log index of the change that wrote this state.
	Revision uint64 `json:"revision,omitempty"`
}

// Validate reports the first rule that the service breaks.
func (s Service) Validate() error {
	if err := CheckName(s.Name); err != nil {
		return errors.Wrap(err, "service")
	}
	if len(s.Routes) == 0 {
		return errors.Errorf("service %q declares no route", s.Name)
	}
	for _, route := range s.Routes {
		if route.Method == "" || !strings.HasPrefix(route.PathPrefix, "/") {
			return errors.Errorf("service %q: route needs a method and a path prefix beginning with /", s.Name)
		}
	}
	return nil
}

// Match returns the route with the longest path prefix for a call. A call that
// matches no route is refused by the entry: an undeclared call has no known
// idempotency, and guessing could run it twice.
func (s Service) Match(method, path string) (Route, bool) {
	best, found := Route{}, false
	for _, route := range s.Routes {
		if route.Method != method || !strings.HasPrefix(path, route.PathPrefix) {
			continue
		}
		if !found || len(route.PathPrefix) > len(best.PathPrefix) {
			best, found = route, true
		}
	}
	return best, found
}
