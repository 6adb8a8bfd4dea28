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

// issuedRawBytes is the length of process ID, time, serial number and MAC.
const issuedRawBytes = 16 + 8 + 8 + issuedMACBytes

// issuer issues keys and verifies them. Keys are authenticated by a MAC under a
// secret that never leaves the process, so that issued keys need no memory until
// they are used.
type issuer struct {
	self   ProcessID
	secret [32]byte
	serial uint64
}

// issue returns a new key. now is the time since process start.
func (i *issuer) issue(now time.Duration) string {
	i.serial++
	raw := make([]byte, issuedRawBytes-issuedMACBytes, issuedRawBytes)
	copy(raw, i.self[:])
	binary.BigEndian.PutUint64(raw[16:], uint64(now.Milliseconds()))
	binary.BigEndian.PutUint64(raw[24:], i.serial)
	return issuedPrefix + hex.EncodeToString(i.sign(raw))
}

// sign returns raw with its MAC appended.
func (i *issuer) sign(raw []byte) []byte {
	mac := hmac.New(sha256.New, i.secret[:])
	mac.Write(raw)
	return append(raw, mac.Sum(nil)[:issuedMACBytes]...)
}

// verify reports whether key was issued by this issuer.
func (i *issuer) verify(key Key) bool {
	if key.Format != FormatIssued || key.Issuer != i.self {
		return false
	}
	raw := make([]byte, issuedRawBytes-issuedMACBytes, issuedRawBytes)
	copy(raw, key.Issuer[:])
	binary.BigEndian.PutUint64(raw[16:], uint64(key.IssuedAt.Milliseconds()))
	binary.BigEndian.PutUint64(raw[24:], key.serial)
	return hmac.Equal(i.sign(raw)[issuedRawBytes-issuedMACBytes:], key.mac[:])
}
