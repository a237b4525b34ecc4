package state

import (
	"cmp"
	"encoding/hex"
	"maps"
	"reflect"
	"slices"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/contract"
)

// MaxKeys is the maximum number of callers' keys per contract.
const MaxKeys = 64

// digestLength is the length of a hex SHA-256 digest.
const digestLength = 64

// contracts is the aggregate of contracts and their callers' keys.
type contracts struct {
	byID map[string]contract.Contract
	// owners maps a key's digest to the one active contract that contains it.
	owners map[string]string
}

func newContracts() contracts {
	return contracts{byID: make(map[string]contract.Contract), owners: make(map[string]string)}
}

func (c *contracts) put(index uint64, put PutContract) (Result, *Change) {
	current, exists := c.byID[put.Contract.ID]
	next := put.Contract
	next.Revision, next.Created = current.Revision, current.Created
	if exists && reflect.DeepEqual(next.Canonical(), current.Canonical()) {
		return Result{Code: CodeOK, Index: current.Revision}, nil
	}
	if current.Revision != put.Expected {
		return contractConflict(index, current, exists), nil
	}
	if current.Retired {
		return invalid(index, errors.Errorf("contract %s is retired", current.ID)), nil
	}
	if err := c.check(next); err != nil {
		return invalid(index, err), nil
	}
	return c.store(index, next)
}

func contractConflict(index uint64, current contract.Contract, exists bool) Result {
	if !exists {
		return conflict(index, "there is no such contract; a new one is written with revision 0", nil)
	}
	return conflict(index, "the contract was changed by another writer", &Change{Index: current.Revision, Contract: &current})
}

func (c *contracts) check(next contract.Contract) error {
	if err := next.Validate(); err != nil {
		return err
	}
	if len(next.KeyHashes) > MaxKeys {
		return errors.Errorf("contract %s has more than %d keys", next.ID, MaxKeys)
	}
	for i, digest := range next.KeyHashes {
		if err := c.checkKey(next.ID, digest); err != nil {
			return err
		}
		if slices.Contains(next.KeyHashes[:i], digest) {
			return errors.Errorf("contract %s lists a key twice", next.ID)
		}
	}
	return nil
}

// checkKey returns an error for a digest that belongs to another contract: a
// caller with that key would be served under whichever contract a daemon found
// first.
func (c *contracts) checkKey(id, digest string) error {
	if _, err := hex.DecodeString(digest); err != nil || len(digest) != digestLength {
		return errors.Errorf("contract %s: a key hash must be a hex SHA-256 digest", id)
	}
	if owner, taken := c.owners[digest]; taken && owner != id {
		return errors.Errorf("contract %s: a key belongs to another contract", id)
	}
	return nil
}

func (c *contracts) store(index uint64, next contract.Contract) (Result, *Change) {
	for _, digest := range c.byID[next.ID].KeyHashes {
		delete(c.owners, digest)
	}
	next.Revision = index
	if next.Created == 0 {
		next.Created = index
	}
	c.byID[next.ID] = next
	c.addOwner(next)
	return ok(index), &Change{Index: index, Contract: &next}
}

func (c *contracts) addOwner(next contract.Contract) {
	if next.Retired {
		return
	}
	for _, digest := range next.KeyHashes {
		c.owners[digest] = next.ID
	}
}

func (c *contracts) changeKeys(index uint64, change ChangeKeys) (Result, *Change) {
	current, exists := c.byID[change.Contract]
	if !exists {
		return notFound(index, "contract "+change.Contract), nil
	}
	if current.Retired {
		return invalid(index, errors.Errorf("contract %s is retired", current.ID)), nil
	}
	if change.Remove != "" && !slices.Contains(current.KeyHashes, change.Remove) {
		return notFound(index, "such key on contract "+change.Contract), nil
	}
	next := current
	next.KeyHashes = slices.DeleteFunc(slices.Clone(current.KeyHashes), func(digest string) bool { return digest == change.Remove })
	if change.Add != "" && !slices.Contains(next.KeyHashes, change.Add) {
		next.KeyHashes = append(next.KeyHashes, change.Add)
	}
	if err := c.check(next); err != nil {
		return invalid(index, err), nil
	}
	if slices.Equal(next.KeyHashes, current.KeyHashes) {
		return Result{Code: CodeOK, Index: current.Revision}, nil
	}
	return c.store(index, next)
}

func (c *contracts) sorted() []contract.Contract {
	return sortedValues(c.byID, identity)
}

func (c *contracts) restore(all []contract.Contract) {
	for _, ct := range all {
		c.byID[ct.ID] = ct
		c.addOwner(ct)
	}
}

// Contract returns a contract, including retired ones, or false if the ID was
// never used.
func (m *Machine) Contract(id string) (contract.Contract, bool) {
	c, found := m.contracts.byID[id]
	return c, found
}

// Contracts returns all contracts, sorted by ID.
func (m *Machine) Contracts() []contract.Contract { return m.contracts.sorted() }

// sortedValues returns a map's values, sorted by the text of their keys.
func sortedValues[K comparable, V any](all map[K]V, text func(K) string) []V {
	keys := slices.Collect(maps.Keys(all))
	slices.SortFunc(keys, func(a, b K) int { return cmp.Compare(text(a), text(b)) })
	values := make([]V, 0, len(keys))
	for _, key := range keys {
		values = append(values, all[key])
	}
	return values
}
