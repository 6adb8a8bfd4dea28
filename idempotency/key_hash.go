package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyHash is the first 128 bits of the SHA-256 of a key's canonical text.
// Callers choose the keys, so the hash must resist deliberate collisions.
type KeyHash [16]byte

func hashKey(canonical string) KeyHash {
	sum := sha256.Sum256([]byte(canonical))
	return KeyHash(sum[:16])
}

// String returns the hash in hexadecimal.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }
