package idempotency

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// recordVersion is the first byte of every record.
const recordVersion = 1

// Lengths of encoded records: version, type, fields, and 8 bytes of checksum.
const (
	claimBytes     = 2 + 1 + 16 + 8 + 8 + 16 + 8 + checksumBytes
	releaseBytes   = 2 + 16 + 16 + 8 + checksumBytes
	tickBytes      = 2 + 16 + checksumBytes
	checksumBytes  = 8
	minRecordBytes = 2 + checksumBytes
)

// errBadRecord is returned for data that is damaged or no record at all.
var errBadRecord = errors.New("bad claims record")

// errNewerRecord is returned for an intact record that this version does not
// understand.
var errNewerRecord = errors.New("claims record of a newer version")

// Record is one record of the claims stream. The fields that its type does
// not use are zero.
type Record struct {
	Type RecordType
	// Form and TimeMS are those of the claimed key.
	Form   Form
	TimeMS int64
	Hash   KeyHash
	// Fingerprint identifies the claimed request.
	Fingerprint uint64
	Owner       ProcessID
	// Nonce is unique among the claims of the owner.
	Nonce uint64
}

// Encode returns the binary form of r: big-endian fields and an xxHash64.
func (r Record) Encode() []byte {
	b := make([]byte, 0, claimBytes)
	b = append(b, recordVersion, byte(r.Type))
	switch r.Type {
	case RecordClaim:
		b = append(b, byte(r.Form))
		b = append(b, r.Hash[:]...)
		b = binary.BigEndian.AppendUint64(b, uint64(r.TimeMS))
		b = binary.BigEndian.AppendUint64(b, r.Fingerprint)
		b = append(b, r.Owner[:]...)
		b = binary.BigEndian.AppendUint64(b, r.Nonce)
	case RecordRelease:
		b = append(b, r.Hash[:]...)
		b = append(b, r.Owner[:]...)
		b = binary.BigEndian.AppendUint64(b, r.Nonce)
	case RecordTick:
		b = append(b, r.Owner[:]...)
	}
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
}

// DecodeRecord is the inverse of Encode.
func DecodeRecord(data []byte) (Record, error) {
	if len(data) < minRecordBytes {
		return Record{}, errBadRecord
	}
	body := data[:len(data)-checksumBytes]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(data[len(body):]) {
		return Record{}, errBadRecord
	}
	r := Record{Type: RecordType(body[1])}
	if body[0] != recordVersion {
		return Record{}, errNewerRecord
	}
	switch {
	case r.Type == RecordClaim && len(data) == claimBytes:
		r.Form = Form(body[2])
		if r.Form != FormOpaque && r.Form != FormUUIDv7 {
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
	case r.Type == RecordTick && len(data) == tickBytes:
		copy(r.Owner[:], body[2:])
	default:
		return Record{}, errNewerRecord
	}
	return r, nil
}
