package claims

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against client keys that are refused until a waiting read of a quiet
// stream returns, after a start and after an outage.
func TestQuietStreamDelaysNoKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a := c.guard()
		c.log.set(func() { c.log.down = true })
		time.Sleep(readWait)
		c.log.set(func() { c.log.down = false })
		time.Sleep(a.options.Config.RetryPause)
		synctest.Wait()
		require.Zero(t, a.Dump().Next, "the stream is empty")
		c.execute(a, "after-an-outage", "")

		b := c.started()
		synctest.Wait()
		c.execute(b, "after-a-start", "")
	})
}
