package idempotency

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// testLog appends records to a ClaimIndex; times are log time in milliseconds.
type testLog struct{ index *ClaimIndex }

func (l testLog) add(timeMS int64, data []byte) {
	rec := logservice.Record{Offset: l.index.next, Time: time.UnixMilli(timeMS), Data: data}
	l.index.Apply(logservice.Batch{Records: []logservice.Record{rec}, Next: rec.Offset + 1}, func(Record, int64) {})
}

func claimRecord(nonce uint64, keyTimeMS int64) Record {
	return Record{Type: RecordClaim, Format: FormatUUIDv7, TimeMS: keyTimeMS, Hash: KeyHash{1}, Owner: ProcessID{byte(nonce)}, Nonce: nonce}
}

func encodedRelease(nonce uint64) []byte {
	return Record{Type: RecordRelease, Hash: KeyHash{1}, Owner: ProcessID{byte(nonce)}, Nonce: nonce}.Encode()
}

// Guards against a malformed record that stops the index from advancing, and
// against a record in a newer format that is treated as if it could not be a claim.
func TestClaimIndexMalformedAndNewerRecords(t *testing.T) {
	l := testLog{NewClaimIndex(testConfig)}
	l.add(1000, []byte("garbage"))
	l.add(1001, claimRecord(1, 1000).Encode())
	require.Equal(t, uint64(1), l.index.badRecords)
	require.Len(t, l.index.keys, 1)
	require.True(t, l.index.complete(FormatUUIDv7, 1000, 1001))
	newer := []byte{recordVersion + 1, 1, 2, 3}
	l.add(5000, binary.BigEndian.AppendUint64(newer, xxhash.Sum64(newer)))
	require.False(t, l.index.complete(FormatUUIDv7, 5000, 5001))
	require.True(t, l.index.complete(FormatUUIDv7, 5001+testConfig.Skew.Milliseconds(), 9000))
}

// Guards against an abandoned claim whose record appears after its release and
// then blocks or wins the key.
func TestClaimIndexIgnoresClaimAfterItsRelease(t *testing.T) {
	l := testLog{NewClaimIndex(testConfig)}
	l.add(1000, claimRecord(1, 1000).Encode())
	l.add(1001, claimRecord(2, 1000).Encode())
	l.add(1002, encodedRelease(1))
	first, ok := l.index.first(KeyHash{1})
	require.True(t, ok)
	require.Equal(t, uint64(2), first.nonce, "the next claim holds the key")
	l.add(1003, claimRecord(1, 1000).Encode())
	l.add(1004, encodedRelease(2))
	_, ok = l.index.first(KeyHash{1})
	require.False(t, ok)
}

// Guards against execution after a gap: an unread record may be a claim whose log
// time is up to MaxLogClockStep after that of the first record read.
func TestClaimIndexGap(t *testing.T) {
	l := testLog{NewClaimIndex(testConfig)}
	l.index.Apply(logservice.Batch{Next: 7, Earliest: 7}, func(Record, int64) {})
	require.False(t, l.index.complete(FormatUUIDv7, 1e9, 1e9), "complete before the first record after a gap")
	l.add(100_000, Record{Type: RecordHeartbeat}.Encode())
	skew, step := testConfig.Skew.Milliseconds(), testConfig.MaxLogClockStep.Milliseconds()
	require.False(t, l.index.complete(FormatUUIDv7, 100_000+skew+step, 110_000))
	require.True(t, l.index.complete(FormatUUIDv7, 100_000+skew+step+1, 110_000))
	window := testConfig.Window.Milliseconds()
	require.False(t, l.index.complete(FormatOpaque, 0, 100_000+window+step))
	require.True(t, l.index.complete(FormatOpaque, 0, 100_000+window+step+1))
}

// Guards against a second execution after the log's clock stepped back by more
// than MaxLogClockStep or the window grew: the earlier claim was already dropped.
func TestClaimIndexDroppedClaimsRaiseLowWatermark(t *testing.T) {
	l := testLog{NewClaimIndex(testConfig)}
	l.add(1000, claimRecord(1, 1000).Encode())
	l.add(60_000, Record{Type: RecordHeartbeat}.Encode())
	_, ok := l.index.first(KeyHash{1})
	require.False(t, ok, "the claim was not dropped")
	l.add(2000, claimRecord(2, 1000).Encode())
	require.Equal(t, uint64(1), l.index.clockSteps)
	require.False(t, l.index.complete(FormatUUIDv7, 1000, 2000))
	l.add(3000+testConfig.Skew.Milliseconds(), claimRecord(3, 3001).Encode())
	_, ok = l.index.first(KeyHash{1})
	require.True(t, ok, "claims after the step are kept according to the new time")

	l = testLog{NewClaimIndex(testConfig)}
	l.add(1000, claimRecord(1, 1000).Encode())
	l.add(60_000, Record{Type: RecordHeartbeat}.Encode())
	l.index.cfg.Window = 2 * time.Minute
	require.False(t, l.index.complete(FormatUUIDv7, 1000, 60_001))
	require.True(t, l.index.complete(FormatUUIDv7, 30_000, 60_001))
}
