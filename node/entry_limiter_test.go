package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Guards against unbounded memory use under many or large requests.
func TestEntryLimiterRefusesAboveLimits(t *testing.T) {
	var i entryLimiter
	for range maxUnprotectedRequests {
		require.Nil(t, i.enter(protectedImportances))
	}
	require.Equal(t, kind.Shed, i.enter(protectedImportances).Kind)
	for range maxEntryRequests - maxUnprotectedRequests {
		require.Nil(t, i.enter(0))
	}
	require.Equal(t, kind.Shed, i.enter(0).Kind)
	i.release(&request{counted: true})
	require.Nil(t, i.enter(0))

	require.Nil(t, i.reserve(maxBufferedBodyBytes))
	refused := i.reserve(1)
	require.Equal(t, kind.Shed, refused.Kind)
	require.Equal(t, kind.NotRun, refused.Run)
	i.release(&request{reservedBytes: 1})
	require.Nil(t, i.reserve(1))
}
