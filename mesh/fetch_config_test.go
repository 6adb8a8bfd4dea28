package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startMeshNodes starts nodes without targets that know each other.
func startMeshNodes(t *testing.T, count int) []*Node {
	const firstPort = 29600
	host := testHost(79)
	var nodes []*Node
	for i := range count {
		at := func(offset int) string { return fmt.Sprintf("%s:%d", host, firstPort+3*i+offset) }
		n := New(Config{Name: fmt.Sprint("n", i), Service: "s", CallerAddress: at(0), PeerAddress: at(1), GossipAddress: at(2), Seeds: []string{fmt.Sprintf("%s:%d", host, firstPort+2)}})
		require.NoError(t, n.Start())
		t.Cleanup(n.Close)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		require.Eventually(t, func() bool { return len(n.presentPeers()) == count-1 }, 20*time.Second, time.Millisecond)
	}
	return nodes
}

// Guards against a node that stays on an older configuration than its peers, because
// the one fetch that follows their announcement failed. A store that has been restored
// may not have the version, either.
func TestAnnouncedConfigIsFetchedUntilItArrives(t *testing.T) {
	nodes := startMeshNodes(t, 2)
	nodes[1].fetchingConfig.Store(true)
	require.NoError(t, nodes[0].ApplyConfig(testConfig(7), "test"))
	require.Eventually(t, func() bool { version, _ := nodes[1].gossip.HighestConfigOffset(); return version == 7 }, 20*time.Second, time.Millisecond)
	require.Zero(t, nodes[1].ConfigVersion())
	nodes[1].fetchingConfig.Store(false)
	require.Eventually(t, func() bool { return nodes[1].ConfigVersion() == 7 }, 20*time.Second, time.Millisecond)
}
