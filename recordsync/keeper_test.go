package recordsync

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simStore holds the revision of one record, and a copy of it.
type simStore struct{ timeline, revision, copied uint64 }

func (s *simStore) restore() {
	s.timeline++
	s.revision = s.copied
}

// Guards against a record that the store does not hold although the keeper says so,
// or never gets: writes fail with and without effect, and the store comes back from
// copies, also while a write is in progress.
func TestStoreHoldsRecordAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step, spread = 100 * time.Millisecond, time.Second
		store := &simStore{timeline: 1}
		k := New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		now := time.Unix(0, 0)
		k.ObserveTimeline(now, store.timeline, spread)
		var wanted uint64
		writes := 0
		write := func(faults bool) {
			v, ok := k.Begin(now)
			if !ok {
				return
			}
			writes++
			outcome := 0
			if faults {
				outcome = rapid.IntRange(0, 3).Draw(t, "outcome")
			}
			if outcome != 2 {
				store.revision = v.Revision
			}
			switch timeline := store.timeline; outcome {
			case 0:
				k.Written(now, timeline)
			case 1, 2:
				k.Failed(now)
			case 3:
				// The store is restored after the write and before its acknowledgement
				// arrives.
				store.restore()
				k.Written(now, timeline)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(step)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				wanted = k.Change(now)
			case 1:
				store.copied = store.revision
			case 2:
				store.restore()
			case 3:
				k.ObserveTimeline(now, store.timeline, spread)
			}
			write(true)
			if k.Timeline() == store.timeline && k.Holds(wanted) && wanted > 0 {
				require.GreaterOrEqual(t, store.revision, wanted)
			}
		}
		k.ObserveTimeline(now, store.timeline, spread)
		for range int((spread + 2*maxRetryDelay) / step) {
			now = now.Add(step)
			write(false)
		}
		if wanted > 0 {
			require.Equal(t, wanted, store.revision)
			require.True(t, k.Current())
		}
		_, planned := k.NextWrite()
		require.False(t, planned)
		before := writes
		now = now.Add(time.Hour)
		write(false)
		require.Equal(t, before, writes, "an acknowledged record is not written again")
	})
}

// Guards against nodes that write a record which the store holds already, and
// against all nodes of a deployment writing at the same moment after a restore.
func TestWritesAfterRestoreAreSpread(t *testing.T) {
	now := time.Unix(0, 0)
	var times []time.Duration
	for seed := range uint64(100) {
		k := New(rand.New(rand.NewPCG(seed, 1)))
		k.ObserveTimeline(now, 3, time.Second)
		k.Confirm(3)
		_, planned := k.NextWrite()
		require.False(t, planned)
		require.False(t, k.ObserveTimeline(now, 3, time.Second))
		require.True(t, k.ObserveTimeline(now, 4, time.Second))
		at, planned := k.NextWrite()
		require.True(t, planned)
		times = append(times, at.Sub(now))
	}
	early := 0
	for _, at := range times {
		require.Less(t, at, time.Second)
		if at < 100*time.Millisecond {
			early++
		}
	}
	require.Less(t, early, 25)
}
