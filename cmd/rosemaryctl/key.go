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
	Make   *keyMake   `arg:"subcommand:make" help:"make a key and print it once with its hash; nothing is stored"`
	Add    *keyAdd    `arg:"subcommand:add" help:"make a key for a contract and print it once"`
	Remove *keyRemove `arg:"subcommand:remove" help:"remove a key from a contract"`
	Rotate *keyRotate `arg:"subcommand:rotate" help:"replace a key of a contract in one change"`
}

type keyMake struct{}

type keyAdd struct {
	Contract string `arg:"positional,required"`
	Hash     string `arg:"--hash" help:"hash of an existing key instead of a new one"`
}

type keyRemove struct {
	Contract string `arg:"positional,required"`
	Hash     string `arg:"--hash,required" help:"hash of the key"`
}

type keyRotate struct {
	Contract string `arg:"positional,required"`
	Hash     string `arg:"--hash,required" help:"hash of the key to replace"`
}

// keyBytes is the length of a key before its text form.
const keyBytes = 32

// madeKey is a key in the clear. It is printed once and kept nowhere.
type madeKey struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

func newKey() madeKey {
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // it never fails; see its documentation
	key := "rp_" + base64.RawURLEncoding.EncodeToString(secret)
	return madeKey{Key: key, Hash: follow.HashKey(key)}
}

func (t *tool) showKey(made madeKey) {
	t.show(made, func() { fmt.Fprintf(t.out, "key   %s\nhash  %s\nThe key is shown only here.\n", made.Key, made.Hash) })
}

func (*keyMake) run(_ context.Context, t *tool) error {
	t.showKey(newKey())
	return nil
}

func (c *keyAdd) run(ctx context.Context, t *tool) error {
	made := madeKey{Hash: c.Hash}
	if c.Hash == "" {
		made = newKey()
	}
	return t.changeKeys(ctx, c.Contract, operator.KeyChange{Add: made.Hash}, made)
}

func (c *keyRemove) run(ctx context.Context, t *tool) error {
	return t.changeKeys(ctx, c.Contract, operator.KeyChange{Remove: c.Hash}, madeKey{})
}

func (c *keyRotate) run(ctx context.Context, t *tool) error {
	made := newKey()
	return t.changeKeys(ctx, c.Contract, operator.KeyChange{Add: made.Hash, Remove: c.Hash}, made)
}

// changeKeys prints a new key when it was stored, and also when that is not
// known: a key that is stored but was never shown could not be used.
func (t *tool) changeKeys(ctx context.Context, id string, change operator.KeyChange, made madeKey) error {
	result, err := t.client.ChangeKeys(ctx, id, change)
	if made.Key != "" && (err == nil || errors.Is(err, operator.ErrUnknown)) {
		t.showKey(made)
	}
	return t.finish(ctx, result, err)
}
