package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/internal/follow"
	"github.com/rosemarypass/rosemarypass/internal/operator"
)

type keyCommand struct {
	Make   *keyMake   `arg:"subcommand:make" help:"generate a key and print it once with its hash; nothing is stored"`
	Add    *keyAdd    `arg:"subcommand:add" help:"generate a key for a contract and print it once"`
	Remove *keyRemove `arg:"subcommand:remove" help:"remove a key from a contract"`
	Rotate *keyRotate `arg:"subcommand:rotate" help:"replace a key of a contract in one change"`
}

type keyMake struct{}

type keyAdd struct {
	Contract string `arg:"positional,required"`
	Hash     string `arg:"--hash" help:"hash of an existing key to add instead of a new one"`
}

type keyRemove struct {
	Contract string `arg:"positional,required"`
	Hash     string `arg:"--hash,required" help:"hash of the key"`
}

type keyRotate struct {
	Contract string `arg:"positional,required"`
	Hash     string `arg:"--hash,required" help:"hash of the key to replace"`
}

// keyBytes is the number of random bytes in a key before it is encoded as text.
const keyBytes = 32

// generatedKey is a plaintext key with its hash. The key is printed once and not
// stored.
type generatedKey struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

func generateKey() generatedKey {
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // rand.Read never returns an error
	key := "rp_" + base64.RawURLEncoding.EncodeToString(secret)
	return generatedKey{Key: key, Hash: follow.HashKey(key)}
}

func (t *tool) showKey(key generatedKey) {
	t.show(key, func() { fmt.Fprintf(t.out, "key   %s\nhash  %s\nThe key is shown only here.\n", key.Key, key.Hash) })
}

func (*keyMake) run(_ context.Context, t *tool) error {
	t.showKey(generateKey())
	return nil
}

func (c *keyAdd) run(ctx context.Context, t *tool) error {
	key := generatedKey{Hash: c.Hash}
	if c.Hash == "" {
		key = generateKey()
	}
	return t.changeKeys(ctx, c.Contract, operator.KeyChange{Add: key.Hash}, key)
}

func (c *keyRemove) run(ctx context.Context, t *tool) error {
	return t.changeKeys(ctx, c.Contract, operator.KeyChange{Remove: c.Hash}, generatedKey{})
}

func (c *keyRotate) run(ctx context.Context, t *tool) error {
	key := generateKey()
	return t.changeKeys(ctx, c.Contract, operator.KeyChange{Add: key.Hash, Remove: c.Hash}, key)
}

// changeKeys changes the keys of a contract. It prints a new key if it was stored
// and also if the outcome is unknown, because a key that is stored but was never
// shown could not be used.
func (t *tool) changeKeys(ctx context.Context, id string, change operator.KeyChange, key generatedKey) error {
	result, err := t.client.ChangeKeys(ctx, id, change)
	if key.Key != "" && (err == nil || errors.Is(err, operator.ErrUnknown)) {
		t.showKey(key)
	}
	return t.reportChange(ctx, result, err)
}
