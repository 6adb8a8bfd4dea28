package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Guards against memory that grows with what callers send.
func TestIntakeIsBounded(t *testing.T) {
	var i intake
	for range maxEnteredReads {
		require.Nil(t, i.enter(protectedImportances))
	}
	require.Equal(t, kind.Shed, i.enter(protectedImportances).Kind)
	for range maxEntered - maxEnteredReads {
		require.Nil(t, i.enter(0))
	}
	require.Equal(t, kind.Shed, i.enter(0).Kind)
	i.release(&request{entered: true})
	require.Nil(t, i.enter(0))

	require.Nil(t, i.reserve(maxBodiesHeld))
	refused := i.reserve(1)
	require.Equal(t, kind.Shed, refused.Kind)
	require.Equal(t, kind.NotRun, refused.Run)
	i.release(&request{held: 1})
	require.Nil(t, i.reserve(1))
}
