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

// fixture runs nodes that share one log in a synctest bubble.
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

// startNode starts a node with the given rank and returns it with a function
// that stops it.
func (f *fixture) startNode(following bool, rank int, retention time.Duration) (*Runner, func()) {
	f.seed++
	r := New(Options{Client: f.store, Rand: rand.New(rand.NewPCG(1, f.seed)), Retention: retention, Following: following, Rank: func() int { return rank }})
	ctx, cancel := context.WithCancel(f.ctx)
	go func() { _ = r.Run(ctx) }()
	return r, cancel
}

// publish appends a change of the policy of paydesk that is based on revision
// base.
func (f *fixture) publish(base uint64) {
	data := fmt.Sprintf(`{"schema":1,"id":%q,"customer":"qureshi","service":"paydesk","base":%d,"op":"put","policy":{"classes":[{"name":"read","importance":5,"timeout_ms":1000}],"slots":70,"connections":500,"retry_allowance":2}}`,
		uuid.UUID{15: byte(base), 14: byte(base >> 8)}, base)
	_, err := f.store.Append(f.ctx, configlog.Stream, []byte(data))
	require.NoError(f, err)
}

func TestFollowersUpdateImmediatelyAndOtherNodesByPolling(t *testing.T) {
	runWithFakeClock(t, time.Hour, func(f *fixture) {
		follower, _ := f.startNode(true, 0, time.Hour)
		poller, _ := f.startNode(false, 1, time.Hour)
		offsets, cancel := follower.Subscribe()
		defer cancel()
		time.Sleep(10 * time.Second)
		f.publish(0)
		synctest.Wait()
		require.EqualValues(t, 1, follower.State().Revision(paydesk))
		require.EqualValues(t, 1, <-offsets)
		require.Zero(t, poller.State().Revision(paydesk))
		poller.ReadNow()
		synctest.Wait()
		require.EqualValues(t, 1, poller.State().Revision(paydesk))
		f.publish(1)
		time.Sleep(2 * pollInterval)
		require.EqualValues(t, 2, poller.State().Revision(paydesk))

		// As a follower it reads new records without waiting for its next poll.
		poller.SetFollowing(true)
		synctest.Wait()
		f.publish(2)
		synctest.Wait()
		require.EqualValues(t, 3, poller.State().Revision(paydesk))
	})
}

// Guards against a node that starts during an outage of the log service and
// has no configuration although its peers do, and against a node that reverts
// to an older state.
func TestNodeStartedDuringOutageAdoptsStateOfPeer(t *testing.T) {
	runWithFakeClock(t, 24*time.Hour, func(f *fixture) {
		f.publish(0)
		peer, _ := f.startNode(true, 0, 24*time.Hour)
		time.Sleep(time.Second)
		olderState := peer.Encode(0)
		f.publish(1)
		synctest.Wait()
		f.store.SetOutage(true)
		newNode, _ := f.startNode(true, 1, 24*time.Hour)
		time.Sleep(10 * time.Minute)
		require.Zero(t, newNode.State().Offset())
		require.NotEmpty(t, newNode.Status().LastError)
		reads := f.store.Counters()[configlog.Stream].Refused
		require.Less(t, reads, uint64(400), "two followers retry at most every 2.5 s each")

		require.NoError(t, newNode.Adopt(peer.Encode(newNode.State().Offset())))
		require.EqualValues(t, 2, newNode.State().Revision(paydesk))
		require.Nil(t, peer.Encode(newNode.State().Offset()))
		require.NoError(t, newNode.Adopt(olderState), "an older state is ignored without an error")
		require.Error(t, newNode.Adopt([]byte("{}")))
		require.EqualValues(t, 2, newNode.State().Revision(paydesk))

		f.store.SetOutage(false)
		time.Sleep(2 * maxFollowerBackoff)
		f.publish(2)
		synctest.Wait()
		require.EqualValues(t, 3, newNode.State().Revision(paydesk))
		require.Less(t, len(newNode.Encode(2)), len(newNode.Encode(0)))
	})
}

// Guards against a configuration that is lost when the records of the log
// expire, and against every node writing a snapshot. Half-way, all nodes but
// the two with the highest ranks stop.
func TestSnapshotsPreserveConfigurationBeyondRetention(t *testing.T) {
	const retention = 64 * time.Minute
	runWithFakeClock(t, retention, func(f *fixture) {
		f.publish(0)
		stopNodes := []func(){}
		for rank := range 10 {
			_, stop := f.startNode(rank < 3, rank, retention)
			stopNodes = append(stopNodes, stop)
		}
		const quartersPerHalf = 10
		for quarter := range 2 * quartersPerHalf {
			if quarter == quartersPerHalf {
				for _, stop := range stopNodes[:8] {
					stop()
				}
			}
			if quarter == 3 {
				f.store.LoseResponses(1)
			}
			time.Sleep(retention / 4)
			f.publish(uint64(quarter) + 1)
			newNode, stop := f.startNode(true, 1000, retention)
			time.Sleep(time.Second)
			require.EqualValues(t, quarter+2, newNode.State().Revision(paydesk), "a new node must find the whole configuration")
			require.False(t, newNode.Status().Gap)
			stop()
		}
		snapshots := f.store.Counters()[configlog.Stream].Records - 2*quartersPerHalf - 1
		require.GreaterOrEqual(t, snapshots, uint64(quartersPerHalf))
		require.LessOrEqual(t, snapshots, uint64(2*quartersPerHalf+5))
	})
}

// Guards against a node that treats the remaining records of a log whose first
// records have expired as the whole configuration, and against a node that
// stays in a gap.
func TestGapIsClosedByLaterSnapshotOrPeerState(t *testing.T) {
	const retention = time.Hour
	runWithFakeClock(t, retention, func(f *fixture) {
		f.publish(0)
		earlyNode, stop := f.startNode(true, 0, 1000*time.Hour)
		time.Sleep(time.Second)
		stop()
		time.Sleep(retention)
		f.publish(1)
		recoveredByPeer, _ := f.startNode(true, 9, 1000*time.Hour)
		recoveredBySnapshot, _ := f.startNode(true, 9, 1000*time.Hour)
		time.Sleep(time.Minute)
		require.True(t, recoveredByPeer.Status().Gap)
		require.Zero(t, recoveredByPeer.State().Offset())
		require.EqualValues(t, 3, recoveredByPeer.Status().Reads, "records already searched must not be read again")
		require.NoError(t, recoveredByPeer.Adopt(earlyNode.Encode(0)))
		time.Sleep(longPollTimeout)
		require.EqualValues(t, 2, recoveredByPeer.State().Revision(paydesk), "the records after the adopted state are read")
		require.True(t, recoveredBySnapshot.Status().Gap)
		_, err := f.store.Append(f.ctx, configlog.Stream, earlyNode.Encode(0))
		require.NoError(t, err)
		f.publish(2)
		synctest.Wait()
		require.EqualValues(t, 3, recoveredBySnapshot.State().Revision(paydesk))
		require.False(t, recoveredBySnapshot.Status().Gap)
		require.EqualValues(t, 3, recoveredByPeer.State().Revision(paydesk))
	})
}
