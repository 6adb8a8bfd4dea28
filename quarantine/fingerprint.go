package quarantine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// contentBits is the number of low bits of a Fingerprint that identify the content of a
// request. The bits above identify its caller: with 95 services, two callers share them
// in one of 230 deployments, and are then one caller here.
const contentBits = 44

// Fingerprint identifies a request by a hash of its content and one of its caller. It does
// not cover the idempotency key or the ID of an attempt, which are new for each attempt.
type Fingerprint uint64

// String returns the form of a fingerprint in logs and dumps. The last 11 digits are those
// of the content.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Content returns the part of f that is the same for all callers.
func (f Fingerprint) Content() Fingerprint { return f & (1<<contentBits - 1) }

// FingerprintOf returns the fingerprint of a request that the service caller sends.
func FingerprintOf(caller, method, host, uri string, body []byte) Fingerprint {
	hash := xxhash.New()
	for _, part := range [...]string{method, host, uri} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return Fingerprint(xxhash.Sum64String(caller)<<contentBits) | Fingerprint(hash.Sum64()).Content()
}
