package routetable

// Splitter distributes the requests of each route over its clusters by weight.
// It uses smooth weighted round robin, which keeps the shares in every short
// sequence of requests; random choice would keep them only in the long run. A
// Splitter is not safe for concurrent use.
type Splitter struct {
	credits map[string]map[string]float64
}

// NewSplitter returns a splitter without state.
func NewSplitter() *Splitter { return &Splitter{credits: map[string]map[string]float64{}} }

// Reset drops the state of all routes. It is called when the configuration
// changes.
func (s *Splitter) Reset() { clear(s.credits) }

// Next returns the service for the next request of a route.
func (s *Splitter) Next(r *Route) string {
	if len(r.Clusters) == 1 {
		return r.Clusters[0].Service
	}
	credits := s.credits[r.Name]
	if credits == nil {
		credits = make(map[string]float64, len(r.Clusters))
		s.credits[r.Name] = credits
	}
	totalWeight, chosen := 0.0, ""
	for _, c := range r.Clusters {
		credits[c.Service] += c.Weight
		totalWeight += c.Weight
		if c.Weight > 0 && (chosen == "" || credits[c.Service] > credits[chosen]) {
			chosen = c.Service
		}
	}
	credits[chosen] -= totalWeight
	return chosen
}
