package idempotency

import (
	"encoding/binary"
	"errors"
)

// claimRefBytes is the length of an encoded ClaimRef.
const claimRefBytes = 24

// ClaimRef identifies one claim of a known owner by key and nonce. Its encoding
// is the key_hash field of peerrpc.OutcomeRequest. The nonce is included because
// a process may claim the same key again, for a different request, after it has
// released the first claim.
type ClaimRef struct {
	Hash  KeyHash
	Nonce uint64
}

// Bytes returns the encoding of r.
func (r ClaimRef) Bytes() []byte {
	return binary.BigEndian.AppendUint64(append(make([]byte, 0, claimRefBytes), r.Hash[:]...), r.Nonce)
}

// ParseClaimRef is the inverse of Bytes.
func ParseClaimRef(b []byte) (ClaimRef, error) {
	if len(b) != claimRefBytes {
		return ClaimRef{}, errors.New("claim reference has the wrong length")
	}
	return ClaimRef{Hash: KeyHash(b[:16]), Nonce: binary.BigEndian.Uint64(b[16:])}, nil
}
