package settings

import (
	"fmt"

	"github.com/pkg/errors"
)

// Agent configures the agent role.
type Agent struct {
	// Listen is the address that entries send requests to.
	Listen string `json:"listen"`
	// Server and Pool name the backend server and its group.
	Server string `json:"server"`
	Pool   string `json:"pool"`
	// Engine is the engine's base URL.
	Engine string `json:"engine"`
	// BaseModel is the model that the engine serves.
	BaseModel string `json:"baseModel"`
	// Slots is the number of adapter slots of the engine.
	Slots int `json:"slots"`
	// Queue bounds the requests that wait for a slot.
	Queue int `json:"queue"`
	// LoadTimeout bounds one adapter load.
	LoadTimeout Duration `json:"loadTimeout"`
	// AnnounceInterval is the time between announcements.
	AnnounceInterval Duration `json:"announceInterval"`
	// DrainTimeout bounds a planned stop.
	DrainTimeout Duration `json:"drainTimeout"`
}

func (a *Agent) check() error {
	required := []struct{ name, value string }{
		{"listen", a.Listen}, {"server", a.Server}, {"pool", a.Pool},
		{"engine", a.Engine}, {"baseModel", a.BaseModel},
	}
	for _, field := range required {
		if field.value == "" {
			return fmt.Errorf("agent.%s: a value is required", field.name)
		}
	}
	if a.Slots <= 0 {
		return errors.New("agent.slots: must be above 0")
	}
	return nil
}
