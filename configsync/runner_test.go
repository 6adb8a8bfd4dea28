package configsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/logstore"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

var paydesk = policy.ServiceName{Customer: "qureshi", Service: "paydesk"}

// fixture runs nodes against one log in a synctest bubble.
type fixture struct {
	*testing.T
	store *logstore.Store
	ctx   context.Context
	seed  uint64
}

func runWithFakeClock(t *testing.T, retention time.Duration, f func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		f(&fixture{T: t, store: logstore.New(logstore.Options{Retention: retention}), ctx: ctx})
	})
}

// node starts a node with the given rank and returns it with a function that
// stops it.
func (f *fixture) node(following bool, rank int, retention time.Duration) (*Runner, func()) {
	f.seed++
	r := New(Options{Client: f.store, Rand: rand.New(rand.NewPCG(1, f.seed)), Retention: retention, Following: following, Rank: func() int { return rank }})
	ctx, cancel := context.WithCancel(f.ctx)
	go func() { _ = r.Run(ctx) }()
	return r, cancel
}

// publish appends the change from revision base with the given slots.
func (f *fixture) publish(base uint64) {
	data := fmt.Sprintf(`{"schema":1,"id":%q,"customer":"qureshi","service":"paydesk","base":%d,"op":"put","policy":{"classes":[{"name":"read","importance":5,"timeout_ms":1000}],"slots":70,"connections":500,"retry_allowance":2}}`,
		uuid.UUID{15: byte(base), 14: byte(base >> 8)}, base)
	_, err := f.store.Append(f.ctx, configlog.Stream, []byte(data))
	require.NoError(f, err)
}

func TestFollowersUpdateImmediatelyOthersAtTheNextPoll(t *testing.T) {
	runWithFakeClock(t, time.Hour, func(f *fixture) {
		follower, _ := f.node(true, 0, time.Hour)
		other, _ := f.node(false, 1, time.Hour)
		offsets, cancel := follower.Subscribe()
		defer cancel()
		time.Sleep(10 * time.Second)
		f.publish(0)
		synctest.Wait()
		require.EqualValues(t, 1, follower.State().Revision(paydesk))
		require.EqualValues(t, 1, <-offsets)
		require.Zero(t, other.State().Revision(paydesk))
		other.ReadNow()
		synctest.Wait()
		require.EqualValues(t, 1, other.State().Revision(paydesk))
		f.publish(1)
		time.Sleep(2 * pollInterval)
		require.EqualValues(t, 2, other.State().Revision(paydesk))

		// As a follower it no longer waits for its poll.
		other.SetFollowing(true)
		synctest.Wait()
		f.publish(2)
		synctest.Wait()
		require.EqualValues(t, 3, other.State().Revision(paydesk))
	})
}

// Guards against a node that is without configuration while the log is down
// although its peers have it, and against one that reverts to an older state.
func TestNodeStartedDuringAnOutageAdoptsFromAPeer(t *testing.T) {
	runWithFakeClock(t, 24*time.Hour, func(f *fixture) {
		f.publish(0)
		peer, _ := f.node(true, 0, 24*time.Hour)
		time.Sleep(time.Second)
		early := peer.Encode(0)
		f.publish(1)
		synctest.Wait()
		f.store.SetOutage(true)
		fresh, _ := f.node(true, 1, 24*time.Hour)
		time.Sleep(10 * time.Minute)
		require.Zero(t, fresh.State().Offset())
		require.NotEmpty(t, fresh.Status().LastError)
		reads := f.store.Counters()[configlog.Stream].Refused
		require.Less(t, reads, uint64(400), "two followers retry at most every 2.5 s each")

		require.NoError(t, fresh.Adopt(peer.Encode(fresh.State().Offset())))
		require.EqualValues(t, 2, fresh.State().Revision(paydesk))
		require.Nil(t, peer.Encode(fresh.State().Offset()))
		require.NoError(t, fresh.Adopt(early), "a stale state is no error")
		require.Error(t, fresh.Adopt([]byte("{}")))
		require.EqualValues(t, 2, fresh.State().Revision(paydesk))

		f.store.SetOutage(false)
		time.Sleep(2 * maxFollowerBackoff)
		f.publish(2)
		synctest.Wait()
		require.EqualValues(t, 3, fresh.State().Revision(paydesk))
		require.Less(t, len(fresh.Encode(2)), len(fresh.Encode(0)))
	})
}

// Guards against a configuration that expires with the log's records, and
// against every node writing a snapshot. All nodes but those of the highest
// rank stop half-way.
func TestSnapshotsOutliveTheRetention(t *testing.T) {
	const retention = 64 * time.Minute
	runWithFakeClock(t, retention, func(f *fixture) {
		f.publish(0)
		stops := []func(){}
		for rank := range 10 {
			_, stop := f.node(rank < 3, rank, retention)
			stops = append(stops, stop)
		}
		const spans = 10
		for span := range 2 * spans {
			if span == spans {
				for _, stop := range stops[:8] {
					stop()
				}
			}
			if span == 3 {
				f.store.LoseResponses(1)
			}
			time.Sleep(retention / 4)
			f.publish(uint64(span) + 1)
			late, stop := f.node(true, 1000, retention)
			time.Sleep(time.Second)
			require.EqualValues(t, span+2, late.State().Revision(paydesk), "a new node must find the whole configuration")
			require.False(t, late.Status().Gap)
			stop()
		}
		written := f.store.Counters()[configlog.Stream].Records - 2*spans - 1
		require.GreaterOrEqual(t, written, uint64(spans))
		require.LessOrEqual(t, written, uint64(2*spans+5))
	})
}

// Guards against a node that takes what is left of an expired log for the
// whole configuration, and against one that never gets out of that state.
func TestGapIsClosedByALaterSnapshotOrByAPeer(t *testing.T) {
	const retention = time.Hour
	runWithFakeClock(t, retention, func(f *fixture) {
		f.publish(0)
		old, stop := f.node(true, 0, 1000*time.Hour)
		time.Sleep(time.Second)
		stop()
		time.Sleep(retention)
		f.publish(1)
		byPeer, _ := f.node(true, 9, 1000*time.Hour)
		bySnapshot, _ := f.node(true, 9, 1000*time.Hour)
		time.Sleep(time.Minute)
		require.True(t, byPeer.Status().Gap)
		require.Zero(t, byPeer.State().Offset())
		require.EqualValues(t, 3, byPeer.Status().Reads, "what was searched is not read again")
		require.NoError(t, byPeer.Adopt(old.Encode(0)))
		time.Sleep(longPoll)
		require.EqualValues(t, 2, byPeer.State().Revision(paydesk), "the records after the adopted state are read")
		require.True(t, bySnapshot.Status().Gap)
		_, err := f.store.Append(f.ctx, configlog.Stream, old.Encode(0))
		require.NoError(t, err)
		f.publish(2)
		synctest.Wait()
		require.EqualValues(t, 3, bySnapshot.State().Revision(paydesk))
		require.False(t, bySnapshot.Status().Gap)
		require.EqualValues(t, 3, byPeer.State().Revision(paydesk))
	})
}
