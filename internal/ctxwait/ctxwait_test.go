package ctxwait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a wait that is over and goes on, by chance, after its context has ended.
func TestWaitEndsWithTimeOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		begun := time.Now()
		for _, d := range []time.Duration{-time.Second, 0} {
			require.True(t, For(ctx, d))
		}
		require.Zero(t, time.Since(begun))
		require.True(t, For(ctx, time.Second))
		require.Equal(t, time.Second, time.Since(begun))
		cancel()
		for range 100 {
			for _, d := range []time.Duration{-time.Second, 0, time.Second} {
				require.False(t, For(ctx, d))
			}
		}
		require.Equal(t, time.Second, time.Since(begun))
	})
}
