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
	ms := uint64(time.Now().UnixMilli()) // uuid does not see the bubble's clock
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

// Guards against a repeat that is executed again or gets another response,
// through the same and through another node, at once and minutes later.
func TestRepeatIsGivenTheStoredResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.guard(), c.guard()
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

// Guards against two executions when repeats reach two nodes at the same time,
// and against a loser that does not wait for the running one.
func TestConcurrentRepeatsAtTwoNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		guards := []*Guard{c.guard(), c.guard()}
		verdicts := make(chan Verdict, 8)
		key := newV7(t)
		for i := range cap(verdicts) {
			go func() {
				v, err := c.begin(guards[i%2], key, 10*time.Second)
				require.Nil(t, err)
				if v.Token != nil {
					require.NoError(t, v.Token.MarkWritten())
					time.Sleep(4 * time.Second) // longer than AskWait
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

// Guards against a claim that counts twice, or not at all, when the answer to
// its append is lost.
func TestLostAppendAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.guard(), c.guard()
		c.log.set(func() { c.log.loseAnswers = true })
		c.execute(a, "order-8", "placed")
		time.Sleep(10 * time.Second)
		c.log.set(func() { c.log.loseAnswers = false })
		v, err := c.begin(b, "order-8", time.Second)
		require.Nil(t, err)
		require.Equal(t, "placed", string(v.Response))
		require.Zero(t, a.Dump().PendingReleases)
	})
}

// Guards against calls that hang or are told "may have run" during a log
// outage, and against issued keys and stored responses that need the log.
func TestLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.guard(), c.guard()
		keys, _, err := a.IssueKeys(1)
		require.NoError(t, err)
		c.execute(a, "order-9", "placed")
		time.Sleep(time.Second)
		c.log.set(func() { c.log.down = true })
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
		require.LessOrEqual(t, a.Dump().PendingReleases, 3, "refusals must not pile up work for the log")
		c.log.set(func() { c.log.down = false })
		time.Sleep(10 * time.Second)
		c.execute(b, "order-10", "placed after the outage")
		v, refused = c.begin(a, "order-10", time.Second)
		require.Nil(t, refused)
		require.Equal(t, "placed after the outage", string(v.Response))
	})
}

// Guards against execution under a claim that its process gave up, when the
// record appears later: the claim is released and the next one wins.
func TestAbandonedClaimIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.guard(), c.guard()
		_, refused := c.begin(a, "order-11", logLatency/2)
		require.Equal(t, kind.ClaimUnavailable, refused.Kind)
		c.execute(b, "order-11", "placed")
		time.Sleep(time.Second)
		require.Zero(t, a.Dump().PendingReleases)
	})
}

// Guards against "not run" for a request whose owner is gone or too slow.
func TestOwnerGoneOrSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.guard(), c.guard()
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
		c.peers.forget(a)
		restarted := c.guard()
		for _, g := range []*Guard{b, restarted} {
			_, refused = c.begin(g, "order-12", time.Second)
			require.Equal(t, kind.ClaimLost, refused.Kind, "gone")
			require.Equal(t, kind.MayHaveRun, refused.Run)
		}
		v.Token.Lost()
		_, refused = c.begin(a, "order-12", time.Second)
		require.Equal(t, kind.MayHaveRun, refused.Run)
	})
}

// Guards against a holder that is paused between its check and its write for
// longer than the window, and against a write after a release.
func TestFrozenHolderDoesNotWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.guard(), c.guard()
		v, refused := c.begin(a, "order-13", time.Second)
		require.Nil(t, refused)
		time.Sleep(idempotency.DefaultWindow + idempotency.DefaultSkew + time.Minute)
		c.peers.forget(a)
		c.execute(b, "order-14", "moves the log's time on")
		c.execute(b, "order-13", "placed")
		err := v.Token.MarkWritten()
		require.Error(t, err)
		require.Equal(t, kind.ClaimUnavailable, kind.Of(err).Kind)
		v.Token.Release()
		require.Error(t, v.Token.MarkWritten())
	})
}

// Guards against waiting repeats that are left without a decision when the
// holder was certainly not run.
func TestReleaseWakesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.guard(), c.guard()
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

// Guards against a node that judges keys although records had expired before
// it read them.
func TestStartAfterRecordsExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a := c.guard()
		key := newV7(t)
		c.execute(a, key, "paid")
		c.execute(a, "order-15", "placed")
		c.peers.forget(a)
		c.log.set(func() { c.log.earliest = uint64(len(c.log.records)) })
		late := c.guard()
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

// Guards against a claim whose caller left before the token was handed over,
// and against goroutines that outlive Run.
func TestCanceledBeginAndShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a := c.guard()
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
