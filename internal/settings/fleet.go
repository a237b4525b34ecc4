package settings

import (
	"bytes"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Fleet configures a process of a deployment whose processes find each other by
// seeds and whose requests follow routes.
type Fleet struct {
	// Instance names the process; unique in the deployment.
	Instance string `json:"instance"`
	// DataCentre is where it runs, IP its machine's address.
	DataCentre string `json:"dataCentre"`
	IP         string `json:"ip"`
	// CallerListen, ReadyListen and ControlListen are the addresses for callers,
	// for the balancer's question whether this entry is ready, and for backend
	// servers and operators. Agents have none.
	CallerListen  string `json:"callerListen"`
	ReadyListen   string `json:"readyListen"`
	ControlListen string `json:"controlListen"`
	// StatusListen serves /debug/vars, the counters and histograms, and
	// /healthz; empty for none.
	StatusListen string `json:"statusListen"`
	// PeerPorts are the first and the last port for traffic between processes,
	// the same on all machines.
	PeerPorts []int `json:"peerPorts"`
	// Seeds are control addresses of processes to greet first.
	Seeds []string `json:"seeds"`
	// Bootstrap is true at the deployment's first start only.
	Bootstrap bool `json:"bootstrap"`
	// DataFolder holds the replicated log; empty without a disk.
	DataFolder string `json:"dataFolder"`
	// MemoryMB is the most memory that the process may use.
	MemoryMB float64 `json:"memoryMB"`
	// LossesBorne is how many machines with a disk may be lost at once.
	LossesBorne int `json:"lossesBorne"`
	// StopSeconds is how long a planned stop may take.
	StopSeconds float64 `json:"stopSeconds"`
	// DrainMillis is within what time a leaving server gets no new work.
	DrainMillis float64 `json:"drainMillis"`
	// RepeatRatio and RepeatSlack bound repeats over all entries, in each span of
	// RepeatWindowSeconds.
	RepeatRatio float64 `json:"repeatRatio"`
	RepeatSlack float64 `json:"repeatSlack"`
	// RepeatWindowSeconds is 10 where the deployment names none.
	RepeatWindowSeconds float64 `json:"repeatWindowSeconds"`
	// VersionMillis is within what time a named adapter version is in force.
	VersionMillis float64 `json:"versionMillis"`
	// HeartbeatMillis is the pause between two announcements of a server.
	HeartbeatMillis float64 `json:"heartbeatMillis"`
	// Engine is the address of the engine beside an agent, Service its service.
	Engine  string `json:"engine"`
	Service string `json:"service"`
}

// Values that stand where the deployment names none.
const (
	defaultStop     = 8 * time.Second
	defaultVersion  = 5 * time.Second
	defaultRepeat   = 10 * time.Second
	defaultBeat     = 1200 * time.Millisecond
	defaultMemoryMB = 256
	portsOfRange    = 2
)

// LoadFleet reads, parses and checks a settings file.
func LoadFleet(path string) (Fleet, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Fleet{}, errors.Wrap(err, "read settings")
	}
	return ParseFleet(path, data)
}

// ParseFleet parses and checks settings; name is used in error messages.
func ParseFleet(name string, data []byte) (Fleet, error) {
	parsed, err := parseDocument(bytes.Clone(data))
	if err != nil {
		return Fleet{}, errors.Wrap(err, name)
	}
	p := &problems{file: name, document: parsed}
	var f Fleet
	parsed.decode(&f, p)
	if err := p.err(); err != nil {
		return Fleet{}, err
	}
	f.check(p)
	return f, p.err()
}

func (f *Fleet) check(p *problems) {
	if f.Instance == "" {
		p.add("instance", "a name is required")
	}
	if net.ParseIP(f.IP) == nil {
		p.add("ip", "an IP number is required")
	}
	if len(f.PeerPorts) != portsOfRange || f.PeerPorts[0] <= 0 || f.PeerPorts[1] < f.PeerPorts[0] {
		p.add("peerPorts", "the first and the last port for traffic between processes are required, such as [7380, 7395]")
	}
	for _, listen := range []struct{ path, address string }{
		{"callerListen", f.CallerListen}, {"readyListen", f.ReadyListen}, {"controlListen", f.ControlListen},
		{"statusListen", f.StatusListen}, {"engine", f.Engine},
	} {
		if listen.address != "" {
			p.checkAddress(listen.path, listen.address)
		}
	}
	for _, seed := range f.Seeds {
		p.checkAddress("seeds", seed)
	}
	if f.ControlListen != "" && len(f.Seeds) == 0 {
		p.add("seeds", "the address of at least one process is required")
	}
	if f.RepeatRatio < 0 || f.RepeatSlack < 0 || f.RepeatWindowSeconds < 0 {
		p.add("repeatRatio", "neither it nor repeatSlack and repeatWindowSeconds may be below 0")
	}
	if f.HeartbeatMillis < 0 {
		p.add("heartbeatMillis", "must not be below 0")
	}
	if f.LossesBorne < 0 {
		p.add("lossesBorne", "must not be below 0")
	}
}

// StopWithin is how long a planned stop may take.
func (f *Fleet) StopWithin() time.Duration {
	if f.StopSeconds <= 0 {
		return defaultStop
	}
	return time.Duration(f.StopSeconds * float64(time.Second))
}

// Heartbeat is the pause between two announcements of a server.
func (f *Fleet) Heartbeat() time.Duration {
	if f.HeartbeatMillis <= 0 {
		return defaultBeat
	}
	return time.Duration(f.HeartbeatMillis * float64(time.Millisecond))
}

// RepeatWindow is the time over which the bound of repeats holds.
func (f *Fleet) RepeatWindow() time.Duration {
	if f.RepeatWindowSeconds <= 0 {
		return defaultRepeat
	}
	return time.Duration(f.RepeatWindowSeconds * float64(time.Second))
}

// VersionWithin is within what time a named version must be in force.
func (f *Fleet) VersionWithin() time.Duration {
	if f.VersionMillis <= 0 {
		return defaultVersion
	}
	return time.Duration(f.VersionMillis * float64(time.Millisecond))
}

// MemoryLimit is the most memory in bytes.
func (f *Fleet) MemoryLimit() int64 {
	limit := f.MemoryMB
	if limit <= 0 {
		limit = defaultMemoryMB
	}
	return int64(limit * 1e6)
}
