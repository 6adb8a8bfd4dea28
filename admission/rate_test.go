package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Guards against a target that gets more requests than it takes per second, in any
// span of time and under any load; against a less important request that is admitted
// before a more important one; and against requests that wait until they time out
// although it was clear that they would.
func TestRateBoundsAdmissions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.05, 60).Draw(t, "rate")
		q := NewQueue(Config{QueueTimeout: time.Second}, rapid.IntRange(1, 30).Draw(t, "slots"), epoch)
		q.SetRate(epoch, rate)
		now := epoch
		var admitted []time.Time
		var running []ID
		waiting := map[ID]Rank{}
		record := func(decisions []Decision) {
			for _, d := range decisions {
				delete(waiting, d.ID)
				if !d.Admitted() {
					require.Contains(t, []kind.Kind{kind.RateLimited, kind.QueueTimeout, kind.Shed}, d.Refused)
					continue
				}
				admitted, running = append(admitted, now), append(running, d.ID)
				for id, rank := range waiting {
					require.False(t, rank.Importance() < d.Rank.Importance(), "%d is admitted before %d", d.ID, id)
				}
			}
		}
		for id := range ID(rapid.IntRange(1, 200).Draw(t, "requests")) {
			for next := now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause ms")) * time.Millisecond); ; {
				at, ok := q.NextAdmission(now)
				if expiry, waits := q.NextExpiry(); waits && (!ok || expiry.Before(at)) {
					at, ok = expiry, true
				}
				if !ok || at.After(next) {
					now = next
					break
				}
				// A step of at least a microsecond, as of a timer.
				now = at.Add(time.Microsecond)
				record(q.Expire(now))
			}
			if len(running) > 0 && rapid.Bool().Draw(t, "release") {
				done := running[0]
				running = running[1:]
				record(q.Release(now, done))
			}
			rank := MakeRank(rapid.IntRange(0, 2).Draw(t, "importance"), false, 0)
			waiting[id] = rank
			record(q.Offer(now, Request{ID: id, Rank: rank, WaitForRate: rapid.Bool().Draw(t, "wait for rate")}))
		}
		effective := max(rate, MinRatePerSecond)
		for i := range admitted {
			for j := i; j < len(admitted); j++ {
				allowed := 1 + effective*(admitted[j].Sub(admitted[i])+burstTime).Seconds()
				require.LessOrEqual(t, float64(j-i+1), allowed+0.01)
			}
		}
	})
}

// Guards against a request that waits long at a limited target while others are free,
// and against one that is refused at once although all targets are limited.
func TestRequestWaitsForRateIfNoTargetTakesMore(t *testing.T) {
	q := NewQueue(Config{QueueTimeout: 100 * time.Millisecond}, 10, epoch)
	q.SetRate(epoch, 2)
	q.Offer(epoch, Request{ID: 1, Rank: MinRank})
	decisions := q.Offer(epoch, Request{ID: 2, Rank: MinRank, MaxWait: time.Second})
	require.Len(t, decisions, 1)
	require.Equal(t, kind.RateLimited, decisions[0].Refused)
	require.Empty(t, q.Offer(epoch, Request{ID: 2, Rank: MinRank, MaxWait: time.Second, WaitForRate: true}))
}

// Guards against a queue of a limited target that fills with requests which will time
// out, and against a limit that stays when it has been removed.
func TestRateRefusesWhatWouldTimeOut(t *testing.T) {
	q := NewQueue(Config{QueueTimeout: 500 * time.Millisecond}, 10, epoch)
	q.SetRate(epoch, 10)
	rank := func(importance int) Rank { return MakeRank(importance, false, 0) }
	refused := 0
	for id := range ID(20) {
		for _, d := range q.Offer(epoch, Request{ID: id, Rank: rank(1), WaitForRate: true}) {
			if !d.Admitted() {
				require.Equal(t, kind.RateLimited, d.Refused)
				refused++
			}
		}
	}
	require.Equal(t, Stats{Limit: 10, Running: 1, Waiting: 5, Level: q.Level(epoch), EmptySince: epoch}, q.Stats(epoch))
	require.Equal(t, 14, refused)
	require.Empty(t, q.Offer(epoch, Request{ID: 100, Rank: rank(0), WaitForRate: true}), "a more important request does not wait behind the others")
	next, ok := q.NextAdmission(epoch)
	require.True(t, ok)
	require.Equal(t, epoch.Add(100*time.Millisecond), next)
	decisions := q.Expire(next)
	require.Len(t, decisions, 1)
	require.EqualValues(t, 100, decisions[0].ID)
	require.Len(t, q.SetRate(next, 0), 5)
	_, ok = q.NextAdmission(next)
	require.False(t, ok)
}
