package routetable

import "math/rand/v2"

// maxSkipped bounds the random number of requests by which the sequence of a split is
// advanced at its start. The probability that a node's first request goes to a cluster
// then differs from the cluster's share by about 1/maxSkipped at most.
const maxSkipped = 4096

// split is the state of the weighted round robin of one route.
type split struct {
	clusters []Cluster
	credits  []float64
	total    float64
}

// newSplit returns the split of a route at a random place of its sequence.
func newSplit(clusters []Cluster, rng *rand.Rand) *split {
	s := &split{clusters: clusters, credits: make([]float64, len(clusters))}
	for _, c := range clusters {
		s.total += c.Weight
	}
	for range rng.IntN(maxSkipped) {
		s.next()
	}
	return s
}

// next returns the service for the next request.
func (s *split) next() string {
	chosen := -1
	for i, c := range s.clusters {
		s.credits[i] += c.Weight
		if c.Weight > 0 && (chosen < 0 || s.credits[i] > s.credits[chosen]) {
			chosen = i
		}
	}
	if chosen < 0 {
		return ""
	}
	s.credits[chosen] -= s.total
	return s.clusters[chosen].Service
}
