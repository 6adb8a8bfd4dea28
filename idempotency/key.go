package idempotency

import (
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// MaxKeyBytes bounds the length of an idempotency key.
const MaxKeyBytes = 128

// issuedPrefix starts every issued key. A client key that starts with it but
// does not parse is malformed, so that a mistyped issued key is not taken for
// an opaque one.
const issuedPrefix = "gsk1."

// uuidBytes is the length of the canonical text of a UUID.
const uuidBytes = 36

// Key is a parsed idempotency key.
type Key struct {
	Form Form
	Hash KeyHash
	// TimeMS is the time of a FormUUIDv7 key in milliseconds since 1970.
	TimeMS int64
	// Issuer is the process that handed out a FormIssued key.
	Issuer ProcessID
	// IssuedAt is when a FormIssued key was handed out, as time since the
	// start of its issuer on the issuer's monotonic clock.
	IssuedAt time.Duration

	serial uint64
	mac    [issuedMACBytes]byte
}

// ParseKey parses an idempotency key. UUIDs are compared without regard to
// case. The error has kind key-malformed.
func ParseKey(s string) (Key, error) {
	if s == "" || len(s) > MaxKeyBytes {
		return Key{}, malformedKey(s, "1 to "+strconv.Itoa(MaxKeyBytes)+" visible ASCII characters")
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return Key{}, malformedKey(s, "visible ASCII characters only")
		}
	}
	if strings.HasPrefix(s, issuedPrefix) {
		return parseIssued(s)
	}
	if len(s) == uuidBytes {
		if id, err := uuid.Parse(s); err == nil {
			key := Key{Form: FormOpaque, Hash: hashKey(id.String())}
			if id.Version() == 7 && id.Variant() == uuid.RFC4122 {
				key.Form = FormUUIDv7
				key.TimeMS = int64(binary.BigEndian.Uint64(id[:8]) >> 16)
			}
			return key, nil
		}
	}
	return Key{Form: FormOpaque, Hash: hashKey(s)}, nil
}

func parseIssued(s string) (Key, error) {
	raw, err := hex.DecodeString(s[len(issuedPrefix):])
	if err != nil || len(raw) != issuedRawBytes || s != strings.ToLower(s) {
		return Key{}, malformedKey(s, "an issued key exactly as it was handed out")
	}
	key := Key{Form: FormIssued, Hash: hashKey(s)}
	copy(key.Issuer[:], raw[:16])
	key.IssuedAt = time.Duration(binary.BigEndian.Uint64(raw[16:24])) * time.Millisecond
	key.serial = binary.BigEndian.Uint64(raw[24:32])
	copy(key.mac[:], raw[32:])
	if key.IssuedAt < 0 {
		return Key{}, malformedKey(s, "an issued key exactly as it was handed out")
	}
	return key, nil
}

func malformedKey(value, allowed string) error {
	if len(value) > MaxKeyBytes {
		value = value[:MaxKeyBytes]
	}
	return &kind.Error{Kind: kind.KeyMalformed, Run: kind.NotRun, Fields: []kind.FieldError{
		{Field: "Idempotency-Key", Value: value, Allowed: allowed}}}
}
