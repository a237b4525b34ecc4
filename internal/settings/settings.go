// Package settings reads and checks a daemon's settings file: JSON with comments.
package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Duration is written as text with a unit, such as "250ms".
type Duration time.Duration

// UnmarshalJSON refuses bare numbers, whose unit would be a guess.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Errorf("%s is not a duration: write text with a unit, such as \"250ms\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("%q is not a duration: write a number with a unit, such as \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON writes the text form.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Settings configure one daemon.
type Settings struct {
	// Instance names the daemon; unique in the deployment.
	Instance string `json:"instance"`
	// DataCentre is where the daemon runs.
	DataCentre string `json:"dataCentre"`
	// ControlPeers are the JSON-RPC addresses of the control instances.
	ControlPeers []string `json:"controlPeers"`

	Entry     *Entry    `json:"entry,omitempty"`
	Agent     *Agent    `json:"agent,omitempty"`
	Control   *Control  `json:"control,omitempty"`
	Telemetry Telemetry `json:"telemetry"`
}

// Telemetry configures traces.
type Telemetry struct {
	// Traces is one of off, stdout, file, otlp.
	Traces string `json:"traces"`
	// TraceFile is the path for "file".
	TraceFile string `json:"traceFile,omitempty"`
	// TraceEndpoint is the collector's URL for "otlp".
	TraceEndpoint string `json:"traceEndpoint,omitempty"`
}

// Load reads, parses and checks a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse parses and checks settings; name is used in error messages.
func Parse(name string, data []byte) (Settings, error) {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return Settings{}, errors.Wrap(err, name)
	}
	var s Settings
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		line := 1 + bytes.Count(standard[:decoder.InputOffset()], []byte("\n"))
		return Settings{}, errors.Wrapf(err, "%s:%d", name, line)
	}
	s.setDefaults()
	if err := s.check(); err != nil {
		return Settings{}, errors.Wrap(err, name)
	}
	return s, nil
}

const (
	defaultMaxBodyBytes     = 4 << 20
	defaultQueue            = 256
	defaultDialTimeout      = time.Second
	defaultLoadTimeout      = 10 * time.Second
	defaultDrainTimeout     = 2 * time.Minute
	defaultAnnounceInterval = 500 * time.Millisecond
	defaultServerLease      = 2500 * time.Millisecond
)

func (s *Settings) setDefaults() {
	if s.Entry != nil {
		setDefault(&s.Entry.MaxBodyBytes, defaultMaxBodyBytes)
		setDefault(&s.Entry.DialTimeout, Duration(defaultDialTimeout))
		setDefault(&s.Entry.DrainTimeout, Duration(defaultDrainTimeout))
	}
	if s.Agent != nil {
		setDefault(&s.Agent.Queue, defaultQueue)
		setDefault(&s.Agent.LoadTimeout, Duration(defaultLoadTimeout))
		setDefault(&s.Agent.AnnounceInterval, Duration(defaultAnnounceInterval))
		setDefault(&s.Agent.DrainTimeout, Duration(defaultDrainTimeout))
	}
	if s.Control != nil {
		setDefault(&s.Control.ServerLease, Duration(defaultServerLease))
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s *Settings) check() error {
	if s.Instance == "" {
		return errors.New("instance: a name is required")
	}
	if s.Entry == nil && s.Agent == nil && s.Control == nil {
		return errors.New("one of entry, agent, control is required")
	}
	if len(s.ControlPeers) == 0 {
		return errors.New("controlPeers: at least one address is required")
	}
	if s.Entry != nil && s.Entry.Listen == "" {
		return errors.New("entry.listen: an address is required")
	}
	if s.Agent != nil {
		return s.Agent.check()
	}
	return nil
}

// DrainTimeout is the longest that a planned stop may take.
func (s *Settings) DrainTimeout() time.Duration {
	longest := Duration(defaultDrainTimeout)
	if s.Entry != nil {
		longest = max(longest, s.Entry.DrainTimeout)
	}
	if s.Agent != nil {
		longest = max(longest, s.Agent.DrainTimeout)
	}
	return time.Duration(longest)
}
