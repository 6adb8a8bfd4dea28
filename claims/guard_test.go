package claims

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/idempotency"
	"github.com/goldcrestsail/goldcrestsail/kind"
)

func newV7(t *testing.T) string {
	id, err := uuid.NewV7()
	require.NoError(t, err)
	ms := uint64(time.Now().UnixMilli()) // uuid.NewV7 does not use the fake clock of synctest.
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

// Guards against a repeat that is executed again or receives another response, at
// the same or another node, immediately or minutes later.
func TestRepeatReceivesStoredResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.readyGuard(), c.readyGuard()
		for _, key := range []string{newV7(t), "order-7"} {
			c.execute(a, key, "paid "+key)
			for _, g := range []*Guard{a, b, a, b} {
				v, err := c.begin(g, key, time.Second)
				require.Nil(t, err)
				require.True(t, v.Replayed)
				require.Equal(t, "paid "+key, string(v.Response))
				time.Sleep(2 * time.Minute)
			}
			_, err := a.Begin(c.ctx, key, 2)
			require.Equal(t, kind.KeyReused, kind.Of(err).Kind)
		}
		require.Equal(t, 2, c.log.claims(), "repeats of a known key append no claim")
	})
}

// Guards against two executions when requests with the same key reach two nodes at
// the same time, and against a request that does not wait for the one whose claim
// was appended first.
func TestConcurrentRepeatsAtTwoNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		guards := []*Guard{c.readyGuard(), c.readyGuard()}
		verdicts := make(chan Verdict, 8)
		key := newV7(t)
		for i := range cap(verdicts) {
			go func() {
				v, err := c.begin(guards[i%2], key, 10*time.Second)
				require.Nil(t, err)
				if v.Token != nil {
					require.NoError(t, v.Token.MarkWritten())
					time.Sleep(4 * time.Second) // Longer than AskWait.
					v.Token.Finish([]byte("paid"))
				}
				verdicts <- v
			}()
		}
		tokens := 0
		for range cap(verdicts) {
			if v := <-verdicts; v.Token != nil {
				tokens++
			} else {
				require.Equal(t, "paid", string(v.Response))
			}
		}
		require.Equal(t, 1, tokens)
	})
}

// Guards against a claim that is counted twice, or not at all, when the response to
// its append is lost.
func TestAppendResponseLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.readyGuard(), c.readyGuard()
		c.log.update(func() { c.log.loseResponses = true })
		c.execute(a, "order-8", "placed")
		time.Sleep(10 * time.Second)
		c.log.update(func() { c.log.loseResponses = false })
		v, err := c.begin(b, "order-8", time.Second)
		require.Nil(t, err)
		require.Equal(t, "placed", string(v.Response))
		require.Zero(t, a.Dump().PendingReleases)
	})
}

// Guards against calls that hang or fail with may-have-run during a log outage, and
// against issued keys and stored responses that need the log.
func TestLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.readyGuard(), c.readyGuard()
		keys, _, err := a.IssueKeys(1)
		require.NoError(t, err)
		c.execute(a, "order-9", "placed")
		time.Sleep(time.Second)
		c.log.update(func() { c.log.down = true })
		for range 3 {
			started := time.Now()
			_, refused := c.begin(a, "order-10", time.Minute)
			require.Equal(t, kind.ClaimUnavailable, refused.Kind)
			require.Equal(t, kind.NotRun, refused.Run)
			require.LessOrEqual(t, time.Since(started), DefaultClaimTimeout)
		}
		c.execute(a, keys[0], "issued")
		v, refused := c.begin(b, "order-9", time.Second)
		require.Nil(t, refused)
		require.Equal(t, "placed", string(v.Response))
		for range 3600 {
			_, refused = c.begin(a, "order-10", time.Second)
			require.Equal(t, kind.NotRun, refused.Run)
			time.Sleep(time.Second)
		}
		require.LessOrEqual(t, a.Dump().PendingReleases, 3, "refused requests must not add pending appends")
		c.log.update(func() { c.log.down = false })
		time.Sleep(10 * time.Second)
		c.execute(b, "order-10", "placed after the outage")
		v, refused = c.begin(a, "order-10", time.Second)
		require.Nil(t, refused)
		require.Equal(t, "placed after the outage", string(v.Response))
	})
}

// Guards against execution under a claim that its process abandoned before the
// record was appended: the claim is released and the next one is granted.
func TestAbandonedClaimIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.readyGuard(), c.readyGuard()
		_, refused := c.begin(a, "order-11", logLatency/2)
		require.Equal(t, kind.ClaimUnavailable, refused.Kind)
		c.execute(b, "order-11", "placed")
		time.Sleep(time.Second)
		require.Zero(t, a.Dump().PendingReleases)
	})
}

// Guards against run state not-run for a request whose claim owner cannot be
// reached or responds too late.
func TestOwnerUnreachableOrSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.readyGuard(), c.readyGuard()
		v, refused := c.begin(a, "order-12", time.Second)
		require.Nil(t, refused)
		require.NoError(t, v.Token.MarkWritten())
		_, refused = c.begin(b, "order-12", 5*time.Second)
		require.Equal(t, kind.ClaimLost, refused.Kind, "running")
		require.Equal(t, kind.MayHaveRun, refused.Run)
		c.peers.delay = time.Minute
		_, refused = c.begin(b, "order-12", time.Hour)
		require.Equal(t, kind.ClaimLost, refused.Kind, "slow")
		c.peers.delay = 0
		c.peers.remove(a)
		restarted := c.readyGuard()
		for _, g := range []*Guard{b, restarted} {
			_, refused = c.begin(g, "order-12", time.Second)
			require.Equal(t, kind.ClaimLost, refused.Kind, "unreachable")
			require.Equal(t, kind.MayHaveRun, refused.Run)
		}
		v.Token.Lost()
		_, refused = c.begin(a, "order-12", time.Second)
		require.Equal(t, kind.MayHaveRun, refused.Run)
	})
}

// Guards against a write by a claim holder that was paused between the grant and
// the write for longer than the window, and against a write after a release.
func TestPausedHolderDoesNotWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.readyGuard(), c.readyGuard()
		v, refused := c.begin(a, "order-13", time.Second)
		require.Nil(t, refused)
		time.Sleep(idempotency.DefaultWindow + idempotency.DefaultSkew + time.Minute)
		c.peers.remove(a)
		c.execute(b, "order-14", "advances the log time")
		c.execute(b, "order-13", "placed")
		err := v.Token.MarkWritten()
		require.Error(t, err)
		require.Equal(t, kind.ClaimUnavailable, kind.Of(err).Kind)
		v.Token.Release()
		require.Error(t, v.Token.MarkWritten())
	})
}

// Guards against repeats that keep waiting after the holder released its claim
// without executing the request.
func TestReleaseWakesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.readyGuard(), c.readyGuard()
		for _, waiting := range []*Guard{a, b} {
			key := newV7(t)
			held, refused := c.begin(a, key, time.Second)
			require.Nil(t, refused)
			granted := make(chan Verdict)
			go func() {
				v, refused := c.begin(waiting, key, 20*time.Second)
				require.Nil(t, refused)
				granted <- v
			}()
			time.Sleep(time.Second)
			held.Token.Release()
			v := <-granted
			require.NotNil(t, v.Token)
			require.NoError(t, v.Token.MarkWritten())
			require.Error(t, held.Token.MarkWritten())
			held.Token.Finish([]byte("ignored"))
			v.Token.Finish([]byte("paid"))
		}
	})
}

// Guards against a node that accepts keys although their records had expired from
// the log before it read them.
func TestStartAfterRecordsExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a := c.readyGuard()
		key := newV7(t)
		c.execute(a, key, "paid")
		c.execute(a, "order-15", "placed")
		c.peers.remove(a)
		c.log.update(func() { c.log.earliest = uint64(len(c.log.records)) })
		late := c.readyGuard()
		for _, k := range []string{key, "order-15", "order-16"} {
			_, refused := c.begin(late, k, time.Second)
			require.Equal(t, kind.ClaimUnavailable, refused.Kind)
			require.Equal(t, kind.NotRun, refused.Run)
		}
		time.Sleep(idempotency.DefaultMaxLogClockStep + idempotency.DefaultSkew)
		c.execute(late, newV7(t), "a new key is served soon")
		time.Sleep(idempotency.DefaultWindow)
		c.execute(late, "order-16", "placed")
		_, refused := c.begin(late, key, time.Second)
		require.Equal(t, kind.KeyExpired, refused.Kind)
		require.Equal(t, kind.MayHaveRun, refused.Run)
	})
}

// Guards against a claim that stays held when its caller is cancelled before it
// receives the token, and against goroutines that outlive Run.
func TestCanceledBeginAndShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a := c.readyGuard()
		ctx, cancel := context.WithCancel(c.ctx)
		cancel()
		_, err := a.Begin(ctx, "order-17", 1)
		require.Equal(t, kind.NotRun, kind.Of(err).Run)
		_, err = a.Begin(c.ctx, "", 1)
		require.Equal(t, kind.KeyRequired, kind.Of(err).Kind)
		_, _, err = a.IssueKeys(0)
		require.Equal(t, kind.Malformed, kind.Of(err).Kind)
		require.NoError(t, a.SetWindow(5*time.Minute))
		require.Error(t, a.SetWindow(0))
		c.execute(a, "order-17", "placed")
	})
}
