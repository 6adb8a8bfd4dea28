package chain

import "time"

// Bounds of a Table.
const (
	// DefaultMaxChains is above any limit that a policy of the design size sets.
	DefaultMaxChains = 4096
	// DefaultMaxCalls bounds the sub-calls remembered per chain.
	DefaultMaxCalls = 1024
	// DefaultMaxVisits lets a service call back into one that is already on the
	// path once; a second time is taken for a cycle.
	DefaultMaxVisits = 2
	// MaxVisited bounds the services listed in a response.
	MaxVisited = 64
	// AbandonedAfter is how long past its deadline a chain is kept when the
	// table is full. A request that outlives its deadline by this much has no
	// caller left.
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
