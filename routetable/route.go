package routetable

import "time"

// Route defines to which services the requests for one host and path prefix go.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Clusters are the services of the split; a route without a split has one.
	Clusters []Cluster `json:"clusters"`
	// Unsafe reports that a request must not run more than once.
	Unsafe bool `json:"unsafe"`
	// Timeout bounds the response time; 0 means that only the caller's deadline
	// applies.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency objective; 0 means that there is none.
	Objective time.Duration `json:"objective"`
	// MaxAttempts bounds the number of targets that one request is sent to.
	MaxAttempts int `json:"max_attempts"`
	// Importance is the priority of the requests; 0 is the highest.
	Importance int `json:"importance"`
}

// WeightShare returns the share of the requests that the weights give to a service,
// from 0 to 1.
func (r *Route) WeightShare(service string) float64 {
	total, weight := 0.0, 0.0
	for _, c := range r.Clusters {
		total += c.Weight
		if c.Service == service {
			weight += c.Weight
		}
	}
	if total <= 0 {
		return 0
	}
	return weight / total
}
