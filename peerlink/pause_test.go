package peerlink

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Guards against a node that gives up calls at work after it has been paused: the
// peer's answer to a ping may wait to be read.
func TestOwnPauseIsNoSilenceOfPeer(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		address, reads := silentPeer(t)
		pool := NewPool(nil)
		failures := make(chan *kind.Error, 1)
		go func() {
			call := testCall("a")
			call.Unsafe = unsafe
			_, failure := pool.Get(address).Call(context.Background(), call)
			failures <- failure
		}()
		<-reads
		pinged := time.Now().Add(2 * pingAfter)
		pool.Check(pinged)
		<-reads
		resumed := pinged.Add(2 * closeAfter)
		require.Empty(t, pool.Check(resumed))
		pool.mu.Lock()
		session := pool.clients[address].session
		pool.mu.Unlock()
		session.mu.Lock()
		require.Len(t, session.pending, 1, "the call is still pending")
		session.mu.Unlock()
		checkUntil(pool, resumed, resumed.Add(closeAfter))
		require.Equal(t, kind.PeerLost, (<-failures).Kind, "a peer that stays silent is given up")
		pool.Close()
	}
}
