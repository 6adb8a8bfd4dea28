package idempotency

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// recordVersion is the format version, the first byte of every record.
const recordVersion = 1

// Lengths of encoded records: version, type, fields, and 8 bytes of checksum.
const (
	claimBytes     = 2 + 1 + 16 + 8 + 8 + 16 + 8 + checksumBytes
	releaseBytes   = 2 + 16 + 16 + 8 + checksumBytes
	heartbeatBytes = 2 + 16 + checksumBytes
	checksumBytes  = 8
	minRecordBytes = 2 + checksumBytes
)

// errMalformedRecord is returned for data that is damaged or not a record.
var errMalformedRecord = errors.New("malformed claims record")

// errNewerRecord is returned for an intact record in a format that this version
// does not support.
var errNewerRecord = errors.New("claims record has a newer, unsupported format")

// Record is one record of the claims stream. Fields that its type does not use
// are zero.
type Record struct {
	Type RecordType
	// Format and TimeMS are those of the claimed key.
	Format KeyFormat
	TimeMS int64
	Hash   KeyHash
	// Fingerprint identifies the claimed request.
	Fingerprint uint64
	Owner       ProcessID
	// Nonce is unique among the claims of the owner.
	Nonce uint64
}

// Encode returns r in binary: big-endian fields followed by an xxHash64
// checksum.
func (r Record) Encode() []byte {
	b := make([]byte, 0, claimBytes)
	b = append(b, recordVersion, byte(r.Type))
	switch r.Type {
	case RecordClaim:
		b = append(b, byte(r.Format))
		b = append(b, r.Hash[:]...)
		b = binary.BigEndian.AppendUint64(b, uint64(r.TimeMS))
		b = binary.BigEndian.AppendUint64(b, r.Fingerprint)
		b = append(b, r.Owner[:]...)
		b = binary.BigEndian.AppendUint64(b, r.Nonce)
	case RecordRelease:
		b = append(b, r.Hash[:]...)
		b = append(b, r.Owner[:]...)
		b = binary.BigEndian.AppendUint64(b, r.Nonce)
	case RecordHeartbeat:
		b = append(b, r.Owner[:]...)
	}
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
}

// DecodeRecord is the inverse of Encode.
func DecodeRecord(data []byte) (Record, error) {
	if len(data) < minRecordBytes {
		return Record{}, errMalformedRecord
	}
	body := data[:len(data)-checksumBytes]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(data[len(body):]) {
		return Record{}, errMalformedRecord
	}
	r := Record{Type: RecordType(body[1])}
	if body[0] != recordVersion {
		return Record{}, errNewerRecord
	}
	switch {
	case r.Type == RecordClaim && len(data) == claimBytes:
		r.Format = KeyFormat(body[2])
		if r.Format != FormatOpaque && r.Format != FormatUUIDv7 {
			return Record{}, errNewerRecord
		}
		copy(r.Hash[:], body[3:])
		r.TimeMS = int64(binary.BigEndian.Uint64(body[19:]))
		r.Fingerprint = binary.BigEndian.Uint64(body[27:])
		copy(r.Owner[:], body[35:])
		r.Nonce = binary.BigEndian.Uint64(body[51:])
	case r.Type == RecordRelease && len(data) == releaseBytes:
		copy(r.Hash[:], body[2:])
		copy(r.Owner[:], body[18:])
		r.Nonce = binary.BigEndian.Uint64(body[34:])
	case r.Type == RecordHeartbeat && len(data) == heartbeatBytes:
		copy(r.Owner[:], body[2:])
	default:
		return Record{}, errNewerRecord
	}
	return r, nil
}
