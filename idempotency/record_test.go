package idempotency

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func anyRecord(t *rapid.T) Record {
	bytes16 := rapid.SliceOfN(rapid.Byte(), 16, 16)
	r := Record{Type: rapid.SampledFrom([]RecordType{RecordClaim, RecordRelease, RecordHeartbeat}).Draw(t, "type"),
		Owner: ProcessID(bytes16.Draw(t, "owner"))}
	if r.Type != RecordHeartbeat {
		r.Hash, r.Nonce = KeyHash(bytes16.Draw(t, "hash")), rapid.Uint64().Draw(t, "nonce")
	}
	if r.Type == RecordClaim {
		r.Format = rapid.SampledFrom([]KeyFormat{FormatOpaque, FormatUUIDv7}).Draw(t, "form")
		r.TimeMS, r.Fingerprint = rapid.Int64().Draw(t, "time"), rapid.Uint64().Draw(t, "fingerprint")
	}
	return r
}

// Guards against a damaged record that is decoded as a different claim.
func TestRecordRoundTripAndCorruption(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := anyRecord(t)
		data := r.Encode()
		decoded, err := DecodeRecord(data)
		require.NoError(t, err)
		require.Equal(t, r, decoded)
		data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		_, err = DecodeRecord(data)
		require.ErrorIs(t, err, errMalformedRecord)
	})
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add(Record{Type: RecordClaim, Format: FormatOpaque}.Encode())
	f.Add(Record{Type: RecordHeartbeat}.Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := DecodeRecord(data); err == nil {
			require.Equal(t, data, r.Encode())
		}
	})
}
