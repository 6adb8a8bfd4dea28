package idempotency

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// foldLog feeds a fold with records; times are log time in milliseconds.
type foldLog struct{ f *Fold }

func (l foldLog) add(timeMS int64, data []byte) {
	rec := logservice.Record{Offset: l.f.next, Time: time.UnixMilli(timeMS), Data: data}
	l.f.Apply(logservice.Batch{Records: []logservice.Record{rec}, Next: rec.Offset + 1}, func(Record, int64) {})
}

func foldClaim(nonce uint64, keyTimeMS int64) Record {
	return Record{Type: RecordClaim, Form: FormUUIDv7, TimeMS: keyTimeMS, Hash: KeyHash{1}, Owner: ProcessID{byte(nonce)}, Nonce: nonce}
}

func foldRelease(nonce uint64) []byte {
	return Record{Type: RecordRelease, Hash: KeyHash{1}, Owner: ProcessID{byte(nonce)}, Nonce: nonce}.Encode()
}

// Guards against a bad record that stops the fold, and against a record of a
// newer version that is treated as if it could not be a claim.
func TestFoldBadAndNewerRecords(t *testing.T) {
	l := foldLog{NewFold(exploreConfig)}
	l.add(1000, []byte("garbage"))
	l.add(1001, foldClaim(1, 1000).Encode())
	require.Equal(t, uint64(1), l.f.badRecords)
	require.Len(t, l.f.keys, 1)
	require.True(t, l.f.complete(FormUUIDv7, 1000, 1001))
	newer := []byte{recordVersion + 1, 1, 2, 3}
	l.add(5000, binary.BigEndian.AppendUint64(newer, xxhash.Sum64(newer)))
	require.False(t, l.f.complete(FormUUIDv7, 5000, 5001))
	require.True(t, l.f.complete(FormUUIDv7, 5001+exploreConfig.Skew.Milliseconds(), 9000))
}

// Guards against a given-up claim whose late record blocks or wins the key
// after its release.
func TestFoldClaimAfterItsRelease(t *testing.T) {
	l := foldLog{NewFold(exploreConfig)}
	l.add(1000, foldClaim(1, 1000).Encode())
	l.add(1001, foldClaim(2, 1000).Encode())
	l.add(1002, foldRelease(1))
	first, ok := l.f.first(KeyHash{1})
	require.True(t, ok)
	require.Equal(t, uint64(2), first.nonce, "the next claim holds the key")
	l.add(1003, foldClaim(1, 1000).Encode())
	l.add(1004, foldRelease(2))
	_, ok = l.f.first(KeyHash{1})
	require.False(t, ok)
}

// Guards against execution after a gap: what was not read may be a claim that
// is up to LogStep later than the first record read.
func TestFoldGap(t *testing.T) {
	l := foldLog{NewFold(exploreConfig)}
	l.f.Apply(logservice.Batch{Next: 7, Earliest: 7}, func(Record, int64) {})
	require.False(t, l.f.complete(FormUUIDv7, 1e9, 1e9), "nothing is known before the first record")
	l.add(100_000, Record{Type: RecordTick}.Encode())
	skew, step := exploreConfig.Skew.Milliseconds(), exploreConfig.LogStep.Milliseconds()
	require.False(t, l.f.complete(FormUUIDv7, 100_000+skew+step, 110_000))
	require.True(t, l.f.complete(FormUUIDv7, 100_000+skew+step+1, 110_000))
	window := exploreConfig.Window.Milliseconds()
	require.False(t, l.f.complete(FormOpaque, 0, 100_000+window+step))
	require.True(t, l.f.complete(FormOpaque, 0, 100_000+window+step+1))
}

// Guards against a second execution after the log's clock stepped back by
// more than LogStep, or after the window grew: the claim was forgotten.
func TestFoldForgottenClaimsRaiseTheFloor(t *testing.T) {
	l := foldLog{NewFold(exploreConfig)}
	l.add(1000, foldClaim(1, 1000).Encode())
	l.add(60_000, Record{Type: RecordTick}.Encode())
	_, ok := l.f.first(KeyHash{1})
	require.False(t, ok, "dropped")
	l.add(2000, foldClaim(2, 1000).Encode())
	require.Equal(t, uint64(1), l.f.clockSteps)
	require.False(t, l.f.complete(FormUUIDv7, 1000, 2000))
	l.add(3000+exploreConfig.Skew.Milliseconds(), foldClaim(3, 3001).Encode())
	_, ok = l.f.first(KeyHash{1})
	require.True(t, ok, "claims after the step are kept by the new time")

	l = foldLog{NewFold(exploreConfig)}
	l.add(1000, foldClaim(1, 1000).Encode())
	l.add(60_000, Record{Type: RecordTick}.Encode())
	l.f.cfg.Window = 2 * time.Minute
	require.False(t, l.f.complete(FormUUIDv7, 1000, 60_001))
	require.True(t, l.f.complete(FormUUIDv7, 30_000, 60_001))
}
