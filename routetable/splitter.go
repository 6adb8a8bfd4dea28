package routetable

// Splitter spreads the requests of each route over its clusters by weight. It
// uses smooth weighted round robin, so that every run of requests holds the
// shares closely, as random choice would only in the long run. A Splitter is
// not safe for concurrent use.
type Splitter struct {
	credit map[string]map[string]float64
}

// NewSplitter returns an empty splitter.
func NewSplitter() *Splitter { return &Splitter{credit: map[string]map[string]float64{}} }

// Reset forgets the routes of an earlier configuration.
func (s *Splitter) Reset() { clear(s.credit) }

// Next returns the service of the next request of a route.
func (s *Splitter) Next(r *Route) string {
	if len(r.Clusters) == 1 {
		return r.Clusters[0].Service
	}
	credit := s.credit[r.Name]
	if credit == nil {
		credit = make(map[string]float64, len(r.Clusters))
		s.credit[r.Name] = credit
	}
	total, best := 0.0, ""
	for _, c := range r.Clusters {
		credit[c.Service] += c.Weight
		total += c.Weight
		if c.Weight > 0 && (best == "" || credit[c.Service] > credit[best]) {
			best = c.Service
		}
	}
	credit[best] -= total
	return best
}
