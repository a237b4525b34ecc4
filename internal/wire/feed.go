package wire

import (
	"time"

	"github.com/rosemarypass/rosemarypass/coord/freshness"
	"github.com/rosemarypass/rosemarypass/coord/state"
)

// Scope is the part of the configuration that a daemon follows.
type Scope string

const (
	// ScopeAll is the whole configuration and the directory; entries need it.
	ScopeAll Scope = "all"
	// ScopeServer is the wanted state of one backend server; its agent needs it.
	ScopeServer Scope = "server"
)

// Watch requests all changes after ConfigIndex and DirectoryVersion. The call waits
// until there is a change or WaitMillis milliseconds have passed.
type Watch struct {
	Daemon string `json:"daemon"`
	Scope  Scope  `json:"scope"`
	// Server is the name of the backend server for ScopeServer.
	Server string `json:"server,omitempty"`
	// ConfigIndex is the index that is in force at the daemon.
	ConfigIndex uint64 `json:"configIndex"`
	// SnapshotIndex and SnapshotPage select the next page of a snapshot that the
	// daemon has started reading.
	SnapshotIndex    uint64 `json:"snapshotIndex,omitempty"`
	SnapshotPage     int    `json:"snapshotPage,omitempty"`
	DirectoryEpoch   uint64 `json:"directoryEpoch,omitempty"`
	DirectoryVersion uint64 `json:"directoryVersion,omitempty"`
	WaitMillis       int64  `json:"waitMillis"`
	// Freshness is what the daemon can prove about its copy. It is reported to
	// operators.
	Freshness freshness.State `json:"freshness"`
	// Lease is how long the daemon admits requests after its last proof of freshness.
	Lease time.Duration `json:"lease"`
}

// WatchReply answers Watch. At most one of Changes, Packed and Snapshot is set, and
// each is bounded in size: the remaining changes are returned by the following calls.
type WatchReply struct {
	// ConfigIndex is the index that the daemon reaches by applying the changes.
	ConfigIndex uint64         `json:"configIndex"`
	Changes     []state.Change `json:"changes,omitempty"`
	// Packed is a packed []state.Change. It replaces Changes if there are many.
	Packed   []byte        `json:"packed,omitempty"`
	Snapshot *SnapshotPage `json:"snapshot,omitempty"`
	// Directory is a packed membership.Delta, or nil if the directory has not changed.
	Directory []byte             `json:"directory,omitempty"`
	Standing  freshness.Standing `json:"standing"`
}

// AllChanges returns the changes from Changes or, unpacked, from Packed.
func (r WatchReply) AllChanges() ([]state.Change, error) {
	if r.Packed == nil {
		return r.Changes, nil
	}
	var changes []state.Change
	err := Unpack(r.Packed, &changes)
	return changes, err
}

// SnapshotPage is a part of the configuration as of Index.
type SnapshotPage struct {
	Index uint64 `json:"index"`
	// Page counts from 0. Last is set on the last page.
	Page int  `json:"page"`
	Last bool `json:"last,omitempty"`
	// Changes is a packed []state.Change.
	Changes []byte `json:"changes"`
}

// StandingRequest asks for a control instance's standing.
type StandingRequest struct{}

// StandingReply answers StandingRequest.
type StandingReply struct {
	Instance string             `json:"instance"`
	Standing freshness.Standing `json:"standing"`
	// ClockMillis is the instance's clock, in milliseconds since the Unix epoch.
	ClockMillis int64 `json:"clockMillis"`
}

// DaemonsRequest asks for the daemons that follow a control instance.
type DaemonsRequest struct{}

// DaemonsReply answers DaemonsRequest.
type DaemonsReply struct {
	Instance string   `json:"instance"`
	Daemons  []Daemon `json:"daemons"`
}

// Daemon is what a control instance knows about a daemon that follows it.
type Daemon struct {
	Name        string          `json:"name"`
	Scope       Scope           `json:"scope"`
	ConfigIndex uint64          `json:"configIndex"`
	Freshness   freshness.State `json:"freshness"`
	// Lease is how long the daemon admits requests after its last proof of freshness.
	Lease time.Duration `json:"lease"`
	// SinceLastCall is the time since the daemon's last call. Lost is set once that is
	// long enough that the daemon has certainly stopped admitting requests.
	SinceLastCall time.Duration `json:"unseen"`
	Lost          bool          `json:"lost,omitempty"`
}
