package idempotency

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

// issuedMACBytes makes guessing a valid issued key infeasible.
const issuedMACBytes = 16

// issuedRawBytes is process ID, time, serial number and MAC.
const issuedRawBytes = 16 + 8 + 8 + issuedMACBytes

// issuer makes issued keys and recognises them. The random part of a key is a
// MAC under a secret that never leaves the process, so that keys which were
// handed out but not used yet need no memory.
type issuer struct {
	self   ProcessID
	secret [32]byte
	serial uint64
}

// issue returns a new key. now is the time since the start of the process.
func (i *issuer) issue(now time.Duration) string {
	i.serial++
	raw := make([]byte, issuedRawBytes-issuedMACBytes, issuedRawBytes)
	copy(raw, i.self[:])
	binary.BigEndian.PutUint64(raw[16:], uint64(now.Milliseconds()))
	binary.BigEndian.PutUint64(raw[24:], i.serial)
	return issuedPrefix + hex.EncodeToString(i.sign(raw))
}

// sign appends the MAC of raw to it.
func (i *issuer) sign(raw []byte) []byte {
	mac := hmac.New(sha256.New, i.secret[:])
	mac.Write(raw)
	return append(raw, mac.Sum(nil)[:issuedMACBytes]...)
}

// genuine reports whether key was handed out by this issuer.
func (i *issuer) genuine(key Key) bool {
	if key.Form != FormIssued || key.Issuer != i.self {
		return false
	}
	raw := make([]byte, issuedRawBytes-issuedMACBytes, issuedRawBytes)
	copy(raw, key.Issuer[:])
	binary.BigEndian.PutUint64(raw[16:], uint64(key.IssuedAt.Milliseconds()))
	binary.BigEndian.PutUint64(raw[24:], key.serial)
	return hmac.Equal(i.sign(raw)[issuedRawBytes-issuedMACBytes:], key.mac[:])
}
