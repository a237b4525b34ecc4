// Package catalogue describes what callers can request: base models, immutable
// adapter versions, and plain services with their routes.
package catalogue

import (
	"strings"

	"github.com/pkg/errors"
)

// MaxNameLength is the maximum length of a name in the catalogue in bytes.
const MaxNameLength = 128

// MaxSourceLength is the maximum length in bytes of an adapter's location in the
// weight store.
const MaxSourceLength = 1024

// Ref identifies one version of one adapter. Its text form "adapter@version" is
// also the name under which an engine loads it, so that an engine that lost its
// adapters in a restart refuses the name instead of answering with the base model.
type Ref struct {
	Adapter string
	Version string
}

// String returns "adapter@version".
func (r Ref) String() string { return r.Adapter + "@" + r.Version }

// Compare orders refs by adapter, then by version.
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

// ParseRef parses "adapter@version". Both parts must be valid names.
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

// CheckName returns an error unless name consists of 1 to MaxNameLength letters, digits, '.', '_' and '-'.
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

// Model is a base model that engines serve and adapters are trained for.
type Model struct {
	Name string `json:"name"`
}

// Validate returns an error for the first rule that the model violates.
func (m Model) Validate() error {
	return errors.Wrap(CheckName(m.Name), "base model")
}

// Adapter is one immutable version of a LoRA adapter.
type Adapter struct {
	Ref Ref `json:"ref"`
	// BaseModel is the name of the model that the adapter was trained for.
	BaseModel string `json:"baseModel"`
	// Source is the location in the weight store from which engines load the
	// adapter.
	Source string `json:"source"`
	// Retired marks a version that is no longer served; its name stays reserved.
	Retired bool `json:"retired,omitempty"`
}

// Validate returns an error for the first rule that the adapter violates.
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

// Route declares a class of calls to a plain service.
type Route struct {
	// Method is the HTTP method.
	Method string `json:"method"`
	// PathPrefix is matched relative to the service's root; the longest match wins.
	PathPrefix string `json:"pathPrefix"`
	// Idempotent means that running a call twice has the same effect as running it
	// once.
	Idempotent bool `json:"idempotent"`
	// RequireKey means that calls without an Idempotency-Key are refused.
	RequireKey bool `json:"requireKey,omitempty"`
}

// Service is a plain service other than an engine, such as a booking system.
type Service struct {
	Name   string  `json:"name"`
	Routes []Route `json:"routes"`
	// Revision is the log index of the change that wrote this state.
	Revision uint64 `json:"revision,omitempty"`
}

// Validate returns an error for the first rule that the service violates.
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

// Match returns the route with the longest matching path prefix. The entry refuses
// calls that match no route: it is unknown whether an undeclared call is
// idempotent, and a wrong guess could run it twice.
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
