package contract

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyDigest is the SHA-256 digest by which a caller's key is kept and looked up, so that neither memory nor the
// time of a lookup tells the key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns the digest in hexadecimal.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:]) }
