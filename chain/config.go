package chain

import "time"

// Bounds of a Table.
const (
	// DefaultMaxChains is above every concurrency limit that a policy sets in a
	// deployment of the design size.
	DefaultMaxChains = 4096
	// DefaultMaxCalls bounds the sub-calls recorded per chain.
	DefaultMaxCalls = 1024
	// DefaultMaxVisits permits one call back to a service that is already on the
	// path; a second one is treated as a cycle.
	DefaultMaxVisits = 2
	// MaxVisited bounds the services listed in a response.
	MaxVisited = 64
	// AbandonedAfter is how long after its deadline a chain counts as abandoned
	// and is removed when the table is full. The caller of such a request has
	// given up long before.
	AbandonedAfter = 30 * time.Second
)

// Config holds the bounds of a Table. Zero fields take the defaults.
type Config struct {
	MaxChains, MaxCalls, MaxVisits int
}

func (c Config) withDefaults() Config {
	if c.MaxChains <= 0 {
		c.MaxChains = DefaultMaxChains
	}
	if c.MaxCalls <= 0 {
		c.MaxCalls = DefaultMaxCalls
	}
	if c.MaxVisits <= 0 {
		c.MaxVisits = DefaultMaxVisits
	}
	return c
}
