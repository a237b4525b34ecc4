package telemetry

import (
	"encoding/json"
	"expvar"
	"maps"
	"sync"
)

// maxNamesShown bounds the names whose use is shown; what the others use is added up under otherNames.
const (
	maxNamesShown = 1024
	otherNames    = "(others)"
)

// Use shows, by name, what was admitted and refused since the start of the process. The number of names is
// bounded.
type Use struct {
	mu    sync.Mutex
	names map[string]amounts
}

type amounts struct {
	Admitted float64 `json:"admitted"`
	Refused  float64 `json:"refused"`
}

// UseOf returns the use with the given name, creating it on first use.
func UseOf(name string) *Use {
	countersMu.Lock()
	defer countersMu.Unlock()
	if existing, ok := expvar.Get(name).(*Use); ok {
		return existing
	}
	u := newUse()
	expvar.Publish(name, u)
	return u
}

func newUse() *Use { return &Use{names: make(map[string]amounts)} }

// Admit adds an amount that was admitted; a negative one takes back what was not used.
func (u *Use) Admit(name string, amount float64) { u.add(name, amounts{Admitted: amount}) }

// Refuse adds an amount that was refused.
func (u *Use) Refuse(name string, amount float64) { u.add(name, amounts{Refused: amount}) }

func (u *Use) add(name string, a amounts) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, shown := u.names[name]; !shown && len(u.names) >= maxNamesShown {
		name = otherNames
	}
	sum := u.names[name]
	u.names[name] = amounts{Admitted: sum.Admitted + a.Admitted, Refused: sum.Refused + a.Refused}
}

// String implements expvar.Var.
func (u *Use) String() string {
	u.mu.Lock()
	names := maps.Clone(u.names)
	u.mu.Unlock()
	text, err := json.Marshal(names)
	if err != nil {
		return "{}"
	}
	return string(text)
}
