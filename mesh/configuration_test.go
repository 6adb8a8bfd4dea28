package mesh

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/routetable"
)

func version(v uint64) *routetable.Config {
	return &routetable.Config{Version: v, Services: []routetable.Service{{Name: "s"}},
		Routes: []routetable.Route{{Name: "r", Host: "h", Prefix: "/", Clusters: []routetable.Cluster{{Service: "s", Weight: 1}}}}}
}

// Guards against a process that steps back to an older version, from the store
// or from a peer, and against a faulty version that comes into force.
func TestOnlyNewerVersionsComeIntoForce(t *testing.T) {
	c := newConfiguration()
	for _, step := range []struct {
		next    *routetable.Config
		applied bool
		inForce uint64
	}{{version(7), true, 7}, {version(5), false, 7}, {version(7), false, 7}, {version(9), true, 9}, {version(8), false, 9}} {
		applied, failure := c.apply(step.next)
		require.Nil(t, failure)
		require.Equal(t, step.applied, applied)
		require.Equal(t, step.inForce, c.version())
	}
	faulty := version(11)
	faulty.Routes[0].Prefix = "no slash"
	_, failure := c.apply(faulty)
	require.Equal(t, kind.ConfigRejected, failure.Kind)
	require.EqualValues(t, 9, c.version())

	decoded, err := decodeConfig(c.encode())
	require.NoError(t, err)
	require.Equal(t, version(9), decoded, "a peer gets the version in force")
}
