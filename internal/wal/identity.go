package wal

import (
	"encoding/json"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/replog"
)

const identityName = "identity.json"

// Identity is who a data folder makes its instance. The incarnation is drawn
// when the folder is created: an instance that lost its folder has forgotten
// how it voted, and must never vote again as the member it was.
type Identity struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

// ID is the member's identity in the log.
func (i Identity) ID() replog.ID { return replog.ID(i.Instance + "." + i.Incarnation) }

func openIdentity(fs FS, folder string, names []string, instance string) (Identity, error) {
	logged := false
	for _, name := range names {
		if name == identityName {
			return readIdentity(fs, folder+"/"+name, instance)
		}
		logged = logged || strings.HasSuffix(name, segmentSuffix) || strings.HasSuffix(name, snapshotSuffix)
	}
	if logged {
		return Identity{}, errors.Errorf("%s is missing beside a log", identityName)
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
		return Identity{}, &CorruptError{File: path, Reason: "not an identity"}
	}
	if identity.Instance != instance {
		return Identity{}, errors.Errorf("the folder belongs to instance %q, not to %q", identity.Instance, instance)
	}
	return identity, nil
}
