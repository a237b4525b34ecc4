// Package settings reads and validates a daemon's settings file, which is JSON
// with comments.
package settings

import (
	"bytes"
	"cmp"
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is encoded as text with a unit, such as "250ms".
type Duration time.Duration

// UnmarshalJSON rejects bare numbers, because their unit would be ambiguous.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Errorf("%s is not a duration: use text with a unit, such as \"250ms\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("%q is not a duration: use a number with a unit, such as \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON returns the text form.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Settings configure one daemon.
type Settings struct {
	// Instance is the daemon's name. It must be unique in the deployment.
	Instance string `json:"instance"`
	// DataCentre is the name of the data centre that the daemon runs in.
	DataCentre string `json:"dataCentre"`
	// StatusListen is the address that serves /healthz, /readyz and /debug/vars to
	// the platform.
	StatusListen string `json:"statusListen,omitempty"`
	// ControlPeers are the JSON-RPC addresses of the control instances.
	ControlPeers []string `json:"controlPeers"`
	// PeerTLS secures the traffic between the system's processes.
	PeerTLS *PeerTLS `json:"peerTLS,omitempty"`
	// PlaintextPeers allows traffic between the system's processes without TLS.
	PlaintextPeers bool `json:"plaintextPeers,omitempty"`

	// Packing weighs batch efficiency against load stalls, from 0 to 1. The whole
	// deployment must use one value. At 0 work is spread over all backend
	// servers, so that most adapters stay loaded; at 1 it is packed on as few
	// servers as have the capacity for it, so that their batches are full.
	Packing float64 `json:"packing,omitempty"`

	// MemoryMB is the memory limit of the process, in megabytes; 0 for that of the
	// environment variable GOMEMLIMIT, and 1,024 without it.
	MemoryMB float64 `json:"memoryMB,omitempty"`
	// RequestMemoryMB bounds what the process holds of requests that it has not
	// answered, in megabytes; 0 for a fifth of the memory limit.
	RequestMemoryMB float64 `json:"requestMemoryMB,omitempty"`
	// MaxDescriptors is the largest number of open descriptors of the process; 0 for
	// what the system grants.
	MaxDescriptors int `json:"maxDescriptors,omitempty"`
	// CallerConnections is the largest number of callers' connections, at an agent of
	// those of entries; 0 for what descriptors and memory allow.
	CallerConnections int `json:"callerConnections,omitempty"`

	Entry     *Entry    `json:"entry,omitempty"`
	Agent     *Agent    `json:"agent,omitempty"`
	Control   *Control  `json:"control,omitempty"`
	Telemetry Telemetry `json:"telemetry"`
}

// Load reads, parses and validates a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse parses and validates settings; name is used in error messages. Parse
// returns an *InvalidError with all problems found if the settings are invalid.
func Parse(name string, data []byte) (Settings, error) {
	parsed, err := parseDocument(bytes.Clone(data))
	if err != nil {
		return Settings{}, errors.Wrap(err, name)
	}
	p := &problems{file: name, document: parsed}
	var s Settings
	parsed.decode(&s, p)
	if err := p.err(); err != nil {
		return Settings{}, err
	}
	s.setDefaults()
	s.check(p)
	return s, p.err()
}

func (s *Settings) setDefaults() {
	if s.Entry != nil {
		s.Entry.setDefaults()
	}
	if s.Agent != nil {
		s.Agent.setDefaults()
	}
	if s.Control != nil {
		s.Control.setDefaults()
	}
	s.Telemetry.Traces = cmp.Or(s.Telemetry.Traces, TracesOff)
}

func (s *Settings) check(p *problems) {
	p.checkName("instance", s.Instance)
	p.checkName("dataCentre", s.DataCentre)
	if s.Entry == nil && s.Agent == nil && s.Control == nil {
		p.add("", "one of entry, agent, control is required")
	}
	if s.StatusListen != "" {
		p.checkAddress("statusListen", s.StatusListen)
	}
	s.checkPeers(p)
	if s.Packing < 0 || s.Packing > 1 {
		p.add("packing", "is out of range: from 0 (fewest load stalls) to 1 (fullest batches)")
	}
	s.checkMemory(p)
	checkConnections(p, s.MaxDescriptors, s.CallerConnections)
	if s.Entry != nil {
		s.Entry.check(p)
	}
	if s.Agent != nil {
		s.Agent.check(p)
	}
	if s.Control != nil {
		s.Control.check(p)
		s.Control.checkLog(p, s.ControlPeers)
	}
	s.Telemetry.check(p)
}

func (s *Settings) checkPeers(p *problems) {
	if len(s.ControlPeers) == 0 {
		p.add("controlPeers", "the address of at least one control instance is required")
	}
	for i, peer := range s.ControlPeers {
		p.checkAddress("controlPeers", peer)
		if slices.Contains(s.ControlPeers[:i], peer) {
			p.add("controlPeers", peer+" is listed twice: remove one")
		}
	}
	switch {
	case s.PeerTLS != nil && s.PlaintextPeers:
		p.add("plaintextPeers", "conflicts with peerTLS: remove one of them")
	case s.PeerTLS == nil && !s.PlaintextPeers:
		p.add("peerTLS", `certificates are required between processes; set "plaintextPeers": true to allow plaintext`)
	case s.PeerTLS != nil:
		s.PeerTLS.check(p)
	}
}

// DrainTimeout returns the time limit of a planned stop, which is the maximum of the
// limits of the daemon's roles.
func (s *Settings) DrainTimeout() time.Duration {
	var longest Duration
	if s.Entry != nil {
		longest = max(longest, s.Entry.DrainTimeout)
	}
	if s.Agent != nil {
		longest = max(longest, s.Agent.DrainTimeout)
	}
	longest = cmp.Or(longest, Duration(defaultDrainTimeout))
	return time.Duration(longest)
}
