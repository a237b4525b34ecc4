// Package wire holds the typed messages between the system's own processes and
// the HTTP headers that entries, agents and engines share.
package wire

import (
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/coord/state"
)

// Methods of the JSON-RPC interface that control instances offer.
const (
	// MethodAnnounce takes an Announce message from an agent or service.
	MethodAnnounce = "directory.announce"
	// MethodWatch is a long poll for configuration and directory changes.
	MethodWatch = "feed.watch"
)

// HTTP headers between entry, agent and engine.
const (
	// HeaderRequestID identifies one request on every hop.
	HeaderRequestID = "X-Request-Id"
	// HeaderModel carries the "adapter@version" that the request must run on.
	HeaderModel = "Rosemarypass-Model"
	// HeaderRan carries the "adapter@version" that the answer came from.
	HeaderRan = "Rosemarypass-Ran"
	// HeaderFencing carries the fencing number of an order to an engine.
	HeaderFencing = "X-Fencing-Number"
	// HeaderIncarnation carries the engine incarnation that an order or call
	// is meant for, and in answers the one that served it.
	HeaderIncarnation = "X-Engine-Incarnation"
	// HeaderIdempotencyKey is the caller's key for a call that must run once.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Announce reports one backend server to the directory.
type Announce struct {
	Announcement membership.Announcement `json:"announcement"`
}

// AnnounceReply answers Announce.
type AnnounceReply struct {
	// Accepted is false when a newer announcement was already known.
	Accepted bool `json:"accepted"`
}

// Watch asks for everything after ConfigIndex and DirectoryVersion, waiting
// until there is something or WaitMillis have passed.
type Watch struct {
	Daemon           string `json:"daemon"`
	ConfigIndex      uint64 `json:"configIndex"`
	DirectoryEpoch   uint64 `json:"directoryEpoch"`
	DirectoryVersion uint64 `json:"directoryVersion"`
	WaitMillis       int64  `json:"waitMillis"`
}

// WatchReply answers Watch.
type WatchReply struct {
	// ConfigIndex is the index that Changes bring the daemon to.
	ConfigIndex uint64         `json:"configIndex"`
	Snapshot    bool           `json:"snapshot,omitempty"`
	Changes     []state.Change `json:"changes,omitempty"`
	// Directory is the whole directory when DirectoryVersion moved, else nil.
	DirectoryEpoch   uint64                    `json:"directoryEpoch"`
	DirectoryVersion uint64                    `json:"directoryVersion"`
	Directory        []membership.Announcement `json:"directory,omitempty"`
}
