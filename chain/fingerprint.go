package chain

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a sub-call by method, service, path with query, body
// hash and idempotency key. Two different sub-calls of a chain collide with a
// probability of about 2^-64; the later one would then consume one retry of the
// allowance.
func Fingerprint(method, service, path, key string, bodyHash uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	var word [8]byte
	for _, part := range [...]string{method, service, path, key} {
		// The length prefix distinguishes ("a", "bc") from ("ab", "c").
		binary.LittleEndian.PutUint64(word[:], uint64(len(part)))
		_, _ = d.Write(word[:])
		_, _ = d.WriteString(part)
	}
	binary.LittleEndian.PutUint64(word[:], bodyHash)
	_, _ = d.Write(word[:])
	return d.Sum64()
}

// BodyHash returns the hash of a request body for Fingerprint.
func BodyHash(body []byte) uint64 { return xxhash.Sum64(body) }
