package quarantine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by a hash of its content. It does not cover the
// idempotency key or the ID of an attempt, which are new for each attempt.
type Fingerprint uint64

// String returns the form of a fingerprint in logs and dumps.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// FingerprintOf returns the fingerprint of a request. It does not cover the caller,
// since the same request ends a target whoever sends it.
func FingerprintOf(method, host, uri string, body []byte) Fingerprint {
	hash := xxhash.New()
	for _, part := range [...]string{method, host, uri} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum64())
}
