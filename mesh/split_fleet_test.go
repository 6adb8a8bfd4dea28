package mesh

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/routetable"
)

const (
	fleetNodes = 400
	// shareTolerance is the platform's bound for the share of a part in 300 requests
	// or more.
	shareTolerance = 0.1
)

// splitConfig returns a configuration with a split route and another route, which
// changes with the version.
func splitConfig(version uint64, weights ...float64) *routetable.Config {
	split := routetable.Route{Name: "split", Host: "h", Prefix: "/split/"}
	config := &routetable.Config{Version: version}
	for i, w := range weights {
		service := fmt.Sprintf("s%d", i)
		config.Services = append(config.Services, routetable.Service{Name: service})
		split.Clusters = append(split.Clusters, routetable.Cluster{Service: service, Weight: w})
	}
	other := routetable.Route{Name: "other", Host: "h", Prefix: "/other/", Clusters: split.Clusters[:1], Timeout: time.Duration(version) * time.Second}
	config.Routes = []routetable.Route{split, other}
	return config
}

func newSplitNode(t *testing.T, seed int) *Node {
	n := New(Config{TargetAddress: "127.0.0.1:1", Seed: uint64(seed + 1)})
	t.Cleanup(n.gate.Close)
	return n
}

// requestSplit classifies requests of the split route at a node and counts them by
// service.
func requestSplit(t *testing.T, n *Node, requests int, counts map[string]int) {
	for range requests {
		now := time.Now()
		q, failure := n.classify(&message.Request{ID: "id", Host: "h", URI: "/split/x", Arrived: now, Deadline: now.Add(time.Minute)})
		require.Nil(t, failure)
		counts[q.call.Service]++
	}
}

func requireShares(t *testing.T, weights []float64, counts map[string]int, text string) {
	total, requests := 0.0, 0
	for _, w := range weights {
		total += w
	}
	for _, n := range counts {
		requests += n
	}
	for i, w := range weights {
		share := float64(counts[fmt.Sprintf("s%d", i)]) / float64(requests)
		require.LessOrEqual(t, math.Abs(share-w/total), shareTolerance, "%s: part %d got %.3f of %d requests, weights %v", text, i, share, requests, weights)
	}
}

var splitWeights = [][]float64{{50, 50}, {75, 25}, {25, 75}, {60, 40}, {90, 10}, {95, 5}, {1, 1, 1}, {2, 1, 1}}

// Guards against nodes that all begin a split at the same part: the shares of a route
// are then off wherever the nodes get few requests each.
func TestSharesOfSplitHoldOverManyNodesWithFewRequests(t *testing.T) {
	for _, weights := range splitWeights {
		for requests := 1; requests <= 3; requests++ {
			counts := map[string]int{}
			for i := range fleetNodes {
				n := newSplitNode(t, i)
				_, failure := n.configuration.apply(splitConfig(1, weights...))
				require.Nil(t, failure)
				requestSplit(t, n, requests, counts)
			}
			requireShares(t, weights, counts, fmt.Sprintf("%d requests a node", requests))
		}
	}
}

// Guards against shares that are off while versions of the configuration come that do
// not touch the route.
func TestSharesOfSplitHoldBetweenChangesOfOtherRoutes(t *testing.T) {
	for _, weights := range splitWeights {
		counts := map[string]int{}
		for i := range 40 {
			n := newSplitNode(t, i)
			for version := uint64(1); version <= 10; version++ {
				_, failure := n.configuration.apply(splitConfig(version, weights...))
				require.Nil(t, failure)
				requestSplit(t, n, 1, counts)
			}
		}
		requireShares(t, weights, counts, "one request a node between two versions")
	}
}

// Guards against shares that are off after a change of the weights.
func TestSharesOfSplitFollowChangeOfWeights(t *testing.T) {
	counts := map[string]int{}
	for i := range fleetNodes {
		n := newSplitNode(t, i)
		_, failure := n.configuration.apply(splitConfig(1, 90, 10))
		require.Nil(t, failure)
		requestSplit(t, n, i%4, map[string]int{})
		_, failure = n.configuration.apply(splitConfig(2, 50, 50))
		require.Nil(t, failure)
		requestSplit(t, n, 1, counts)
	}
	requireShares(t, []float64{50, 50}, counts, "first request after the change")
}
