package settings

import (
	"bytes"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/credit"
)

// Fleet configures one process of a deployment in which processes discover each
// other through seeds and requests are forwarded by routes.
type Fleet struct {
	// Instance is the process's name. It must be unique in the deployment.
	Instance string `json:"instance"`
	// DataCentre is the data centre that the process runs in, IP its machine's
	// address.
	DataCentre string `json:"dataCentre"`
	IP         string `json:"ip"`
	// CallerListen, ReadyListen and ControlListen are the listen addresses for
	// callers, for the load balancer's readiness checks of this entry, and for
	// backend servers and operators. Agents have none.
	CallerListen  string `json:"callerListen"`
	ReadyListen   string `json:"readyListen"`
	ControlListen string `json:"controlListen"`
	// StatusListen is the address that serves /debug/vars (counters and
	// histograms) and /healthz; empty disables them.
	StatusListen string `json:"statusListen"`
	// PeerPorts are the first and the last port for traffic between processes.
	// They must be the same on all machines.
	PeerPorts []int `json:"peerPorts"`
	// Seeds are the control addresses of the processes to contact first.
	Seeds []string `json:"seeds"`
	// Bootstrap is set only when the deployment starts for the first time.
	Bootstrap bool `json:"bootstrap"`
	// DataFolder holds the replicated log; it is empty for a process without a disk.
	DataFolder string `json:"dataFolder"`
	// MemoryMB is the memory limit of the process, in megabytes.
	MemoryMB float64 `json:"memoryMB"`
	// RequestMemoryMB bounds what the process holds of requests that it has not answered, in megabytes; 0 for a fifth
	// of the memory limit.
	RequestMemoryMB float64 `json:"requestMemoryMB"`
	// MaxDescriptors is the largest number of open descriptors of the process; 0 for what the system grants.
	MaxDescriptors int `json:"maxDescriptors"`
	// CallerConnections is the largest number of callers' connections; 0 for what descriptors and memory allow.
	CallerConnections int `json:"callerConnections"`
	// ToleratedLosses is the number of machines with a disk that the deployment
	// survives losing at once.
	ToleratedLosses int `json:"lossesBorne"`
	// StopSeconds is the time limit of a planned stop, in seconds.
	StopSeconds float64 `json:"stopSeconds"`
	// DrainMillis is the time, in milliseconds, after which a leaving server must
	// no longer receive new requests.
	DrainMillis float64 `json:"drainMillis"`
	// RepeatRatio and RepeatSlack bound the retries of all entries together in each
	// window of RepeatWindowSeconds.
	RepeatRatio float64 `json:"repeatRatio"`
	RepeatSlack float64 `json:"repeatSlack"`
	// RepeatWindowSeconds is the length of that window in seconds; 10 if the
	// deployment sets none.
	RepeatWindowSeconds float64 `json:"repeatWindowSeconds"`
	// QuotaOver, QuotaSlack and QuotaWindowSeconds say by how much teams may exceed their limits: in any such
	// window by that share of what the limit allows, and by that many units more.
	QuotaOver          float64 `json:"quotaOver"`
	QuotaSlack         float64 `json:"quotaSlack"`
	QuotaWindowSeconds float64 `json:"quotaWindowSeconds"`
	// VersionMillis is the time, in milliseconds, within which a newly named
	// adapter version must be in force.
	VersionMillis float64 `json:"versionMillis"`
	// HeartbeatMillis is the interval, in milliseconds, between two announcements
	// of a server.
	HeartbeatMillis float64 `json:"heartbeatMillis"`
	// Engine is the address of the engine that an agent runs next to, Service the
	// service that the engine provides.
	Engine  string `json:"engine"`
	Service string `json:"service"`
}

// Defaults for values that the deployment does not set.
const (
	defaultStopTimeout     = 8 * time.Second
	defaultMaxVersionDelay = 5 * time.Second
	defaultRepeatWindow    = 10 * time.Second
	defaultHeartbeat       = 1200 * time.Millisecond
	defaultMemoryMB        = 256
	portRangeLen           = 2
)

// LoadFleet reads, parses and validates a settings file.
func LoadFleet(path string) (Fleet, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Fleet{}, errors.Wrap(err, "read settings")
	}
	return ParseFleet(path, data)
}

// ParseFleet parses and validates settings; name is used in error messages. It
// returns an *InvalidError with all problems found if the settings are invalid.
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
		p.add("ip", "an IP address is required")
	}
	if len(f.PeerPorts) != portRangeLen || f.PeerPorts[0] <= 0 || f.PeerPorts[1] < f.PeerPorts[0] {
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
		p.add("repeatRatio", "repeatRatio, repeatSlack and repeatWindowSeconds must not be below 0")
	}
	if f.QuotaOver < 0 || f.QuotaSlack < 0 || f.QuotaWindowSeconds < 0 {
		p.add("quotaOver", "quotaOver, quotaSlack and quotaWindowSeconds must not be below 0")
	}
	checkConnections(p, f.MaxDescriptors, f.CallerConnections)
	checkRequestMemory(p, f.RequestMemoryMB, float64(f.MemoryLimit())/bytesPerMB)
	if f.HeartbeatMillis < 0 {
		p.add("heartbeatMillis", "must not be below 0")
	}
	if f.ToleratedLosses < 0 {
		p.add("lossesBorne", "must not be below 0")
	}
}

// StopTimeout returns the time limit of a planned stop.
func (f *Fleet) StopTimeout() time.Duration {
	if f.StopSeconds <= 0 {
		return defaultStopTimeout
	}
	return time.Duration(f.StopSeconds * float64(time.Second))
}

// Heartbeat returns the interval between two announcements of a server.
func (f *Fleet) Heartbeat() time.Duration {
	if f.HeartbeatMillis <= 0 {
		return defaultHeartbeat
	}
	return time.Duration(f.HeartbeatMillis * float64(time.Millisecond))
}

// RepeatWindow returns the length of the window in which retries are bounded.
func (f *Fleet) RepeatWindow() time.Duration {
	if f.RepeatWindowSeconds <= 0 {
		return defaultRepeatWindow
	}
	return time.Duration(f.RepeatWindowSeconds * float64(time.Second))
}

// TeamLimits returns how exactly the limits of teams must hold.
func (f *Fleet) TeamLimits() credit.Options {
	return credit.Options{Window: time.Duration(f.QuotaWindowSeconds * float64(time.Second)), OverRatio: f.QuotaOver, OverUnits: f.QuotaSlack}
}

// MaxVersionDelay returns the time within which a newly named adapter version must
// be in force.
func (f *Fleet) MaxVersionDelay() time.Duration {
	if f.VersionMillis <= 0 {
		return defaultMaxVersionDelay
	}
	return time.Duration(f.VersionMillis * float64(time.Millisecond))
}

// MemoryLimit returns the memory limit of the process, in bytes.
func (f *Fleet) MemoryLimit() int64 {
	limit := f.MemoryMB
	if limit <= 0 {
		limit = defaultMemoryMB
	}
	return int64(limit * bytesPerMB)
}

// RequestMemory returns the bound of what the process holds of requests that it has not answered, in bytes.
func (f *Fleet) RequestMemory() int64 {
	return requestMemory(f.RequestMemoryMB, float64(f.MemoryLimit())/bytesPerMB)
}

// ConnectionLimits returns the limits of the process's listeners.
func (f *Fleet) ConnectionLimits() ConnectionLimits {
	return connectionLimits(f.MaxDescriptors, f.MemoryLimit(), f.CallerConnections)
}

// NamedMemory returns the memory limit that the settings name, in bytes; 0 if they name none.
func (f *Fleet) NamedMemory() int64 {
	if f.MemoryMB <= 0 {
		return 0
	}
	return f.MemoryLimit()
}
