package recordsync

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simStore holds the revision and the token of one record, a copy of them, and writes
// that it has received and not executed.
type simStore struct {
	timeline        uint64
	revision, token uint64
	// stated is the timeline that the stored record states.
	stated uint64
	copied Write
	late   []Write
}

func (s *simStore) restore() {
	s.timeline++
	s.revision, s.stated, s.token = s.copied.Revision, s.copied.Timeline, s.copied.Token
}

// execute executes a write unless its token is too low.
func (s *simStore) execute(w Write) bool {
	if w.Token < s.token {
		return false
	}
	s.revision, s.stated, s.token = w.Revision, w.Timeline, w.Token
	return true
}

func (s *simStore) executeLate() {
	for _, w := range s.late {
		s.execute(w)
	}
	s.late = nil
}

// Guards against a record that the store does not hold although the keeper says so,
// or never gets, or that states an earlier timeline for good: writes fail with and
// without effect or take effect late, an earlier process has used higher tokens, and
// the store comes back from copies, also while a write is in progress.
func TestStoreHoldsRecordAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step, spread = 100 * time.Millisecond, time.Second
		store := &simStore{timeline: 1, token: rapid.Uint64Range(0, 3_600_000).Draw(t, "token")}
		k := New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		now := time.Unix(0, 0)
		k.ObserveTimeline(now, store.timeline, spread)
		var wanted uint64
		writes := 0
		write := func(faults bool) {
			w, ok := k.Begin(now)
			if !ok {
				return
			}
			writes++
			outcome := 0
			if faults {
				outcome = rapid.IntRange(0, 4).Draw(t, "outcome")
			}
			if outcome == 4 {
				store.late = append(store.late, w)
			}
			timeline := store.timeline
			switch {
			case outcome == 2 || outcome == 4:
				k.Failed(now)
			case !store.execute(w):
				k.Fenced(now)
			case outcome == 0:
				k.Written(now, timeline)
			case outcome == 1:
				k.Failed(now)
			default:
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
				store.copied = Write{Version{store.revision, store.stated}, store.token}
			case 2:
				store.restore()
			case 3:
				k.ObserveTimeline(now, store.timeline, spread)
			case 4:
				store.executeLate()
			}
			write(true)
			if k.Timeline() == store.timeline && k.Holds(wanted) && wanted > 0 {
				require.GreaterOrEqual(t, store.revision, wanted)
			}
		}
		k.ObserveTimeline(now, store.timeline, spread)
		for range int((spread + 8*maxRenewDelay) / step) {
			now = now.Add(step)
			write(false)
		}
		store.executeLate()
		if wanted > 0 {
			require.Equal(t, wanted, store.revision)
			require.Equal(t, store.timeline, store.stated, "a restarted node does not take the record for complete")
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
		k.Confirm(now, Version{Timeline: 3})
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
