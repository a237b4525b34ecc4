package wal

import (
	"encoding/json"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/replog"
)

const identityName = "identity.json"

// Identity identifies the member that owns a data folder. The incarnation is
// generated at random when the folder is created: an instance that lost its
// folder no longer knows its past votes and must never vote again under its
// former member ID.
type Identity struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

// ID returns the member's ID in the log.
func (i Identity) ID() replog.ID { return replog.ID(i.Instance + "." + i.Incarnation) }

func openIdentity(fs FS, folder string, names []string, instance string) (Identity, error) {
	hasLog := false
	for _, name := range names {
		if name == identityName {
			return readIdentity(fs, folder+"/"+name, instance)
		}
		hasLog = hasLog || strings.HasSuffix(name, segmentSuffix) || strings.HasSuffix(name, snapshotSuffix)
	}
	if hasLog {
		return Identity{}, errors.Errorf("%s is missing, but the folder holds log files", identityName)
	}
	identity := Identity{Instance: instance, Incarnation: strings.ReplaceAll(uuid.NewString(), "-", "")[:12]}
	data, err := json.Marshal(identity)
	if err != nil {
		return Identity{}, errors.Wrap(err, "encode identity")
	}
	return identity, WriteAtomically(fs, folder, identityName, data)
}

func readIdentity(fs FS, path, instance string) (Identity, error) {
	data, err := readFile(fs, path)
	if err != nil {
		return Identity{}, err
	}
	var identity Identity
	if err := json.Unmarshal(data, &identity); err != nil || identity.Incarnation == "" {
		return Identity{}, &CorruptError{File: path, Reason: "invalid identity file"}
	}
	if identity.Instance != instance {
		return Identity{}, errors.Errorf("the folder belongs to instance %q, not to %q", identity.Instance, instance)
	}
	return identity, nil
}
