package mesh

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/routetable"
)

func testConfig(v uint64) *routetable.Config {
	return &routetable.Config{Version: v, Services: []routetable.Service{{Name: "s"}},
		Routes: []routetable.Route{{Name: "r", Host: "h", Prefix: "/", Clusters: []routetable.Cluster{{Service: "s", Weight: 1}}}}}
}

// Guards against a node that returns to an older version, received from the
// store or from a peer, and against an invalid version that is applied.
func TestOnlyNewerVersionsComeIntoForce(t *testing.T) {
	c := newConfiguration(rand.New(rand.NewPCG(1, 1)))
	for _, step := range []struct {
		next    *routetable.Config
		applied bool
		inForce uint64
	}{{testConfig(7), true, 7}, {testConfig(5), false, 7}, {testConfig(7), false, 7}, {testConfig(9), true, 9}, {testConfig(8), false, 9}} {
		applied, failure := c.apply(step.next)
		require.Nil(t, failure)
		require.Equal(t, step.applied, applied)
		require.Equal(t, step.inForce, c.version())
	}
	invalid := testConfig(11)
	invalid.Routes[0].Prefix = "no slash"
	_, failure := c.apply(invalid)
	require.Equal(t, kind.ConfigRejected, failure.Kind)
	require.EqualValues(t, 9, c.version())

	decoded, err := decodeConfig(c.encodedConfig())
	require.NoError(t, err)
	require.Equal(t, testConfig(9), decoded, "a peer receives the current version")
}
