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

// MaxKeyBytes is the maximum length of an idempotency key.
const MaxKeyBytes = 128

// issuedPrefix is the prefix of issued keys. A key with this prefix that does not
// parse as an issued key is malformed, so that a mistyped issued key is not
// treated as an opaque one.
const issuedPrefix = "gsk1."

// uuidTextBytes is the length of a UUID in canonical text form.
const uuidTextBytes = 36

// Key is a parsed idempotency key.
type Key struct {
	Format KeyFormat
	Hash   KeyHash
	// TimeMS is the time of a FormatUUIDv7 key in Unix milliseconds.
	TimeMS int64
	// Issuer is the process that issued a FormatIssued key.
	Issuer ProcessID
	// IssuedAt is when a FormatIssued key was issued, as time since the start
	// of its issuer on the issuer's monotonic clock.
	IssuedAt time.Duration

	serial uint64
	mac    [issuedMACBytes]byte
}

// ParseKey parses an idempotency key. UUIDs are case-insensitive. The error has
// kind key-malformed.
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
		return parseIssuedKey(s)
	}
	if len(s) == uuidTextBytes {
		if id, err := uuid.Parse(s); err == nil {
			key := Key{Format: FormatOpaque, Hash: hashKey(id.String())}
			if id.Version() == 7 && id.Variant() == uuid.RFC4122 {
				key.Format = FormatUUIDv7
				key.TimeMS = int64(binary.BigEndian.Uint64(id[:8]) >> 16)
			}
			return key, nil
		}
	}
	return Key{Format: FormatOpaque, Hash: hashKey(s)}, nil
}

func parseIssuedKey(s string) (Key, error) {
	raw, err := hex.DecodeString(s[len(issuedPrefix):])
	if err != nil || len(raw) != issuedRawBytes || s != strings.ToLower(s) {
		return Key{}, malformedKey(s, "an issued key exactly as it was issued")
	}
	key := Key{Format: FormatIssued, Hash: hashKey(s)}
	copy(key.Issuer[:], raw[:16])
	key.IssuedAt = time.Duration(binary.BigEndian.Uint64(raw[16:24])) * time.Millisecond
	key.serial = binary.BigEndian.Uint64(raw[24:32])
	copy(key.mac[:], raw[32:])
	if key.IssuedAt < 0 {
		return Key{}, malformedKey(s, "an issued key exactly as it was issued")
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
