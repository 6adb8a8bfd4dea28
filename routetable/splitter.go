package routetable

import (
	"math/rand/v2"
	"slices"
)

// Splitter distributes the requests of each route over its clusters by weight.
// It uses smooth weighted round robin, which keeps the shares of one node in
// every short sequence of requests, and begins at a random place of that
// sequence: nodes that all began at the same place would together send too much
// to one cluster while each has few requests. A Splitter is not safe for
// concurrent use.
type Splitter struct {
	rng    *rand.Rand
	splits map[string]*split
}

// NewSplitter returns a splitter without state. rng chooses the places at which the
// sequences begin.
func NewSplitter(rng *rand.Rand) *Splitter {
	return &Splitter{rng: rng, splits: map[string]*split{}}
}

// Retain drops the state of the routes that are not in a configuration. It is called
// when the configuration changes. The sequence of a route whose weights stay the same
// goes on.
func (s *Splitter) Retain(config *Config) {
	kept := make(map[string]*split, len(s.splits))
	for i := range config.Routes {
		name := config.Routes[i].Name
		if state := s.splits[name]; state != nil {
			kept[name] = state
		}
	}
	s.splits = kept
}

// Next returns the service for the next request of a route.
func (s *Splitter) Next(r *Route) string {
	if len(r.Clusters) == 1 {
		return r.Clusters[0].Service
	}
	state := s.splits[r.Name]
	if state == nil || !slices.Equal(state.clusters, r.Clusters) {
		state = newSplit(r.Clusters, s.rng)
		s.splits[r.Name] = state
	}
	return state.next()
}
