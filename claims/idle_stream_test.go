package claims

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against client keys that are refused, after a start or an outage, until a
// long poll of an idle stream returns.
func TestIdleStreamDelaysNoKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a := c.readyGuard()
		c.log.update(func() { c.log.down = true })
		time.Sleep(readWait)
		c.log.update(func() { c.log.down = false })
		time.Sleep(a.options.Config.RetryPause)
		synctest.Wait()
		require.Zero(t, a.Dump().Next, "the stream is empty")
		c.execute(a, "after-an-outage", "")

		b := c.startGuard()
		synctest.Wait()
		c.execute(b, "after-a-start", "")
	})
}
