package policy

import "time"

// MaxImportance is the importance of the least important class; 0 is the most
// important.
const MaxImportance = 15

// Class is a set of requests that are handled alike.
type Class struct {
	Name string
	// Importance orders classes; 0 is the most important.
	Importance int
	// Match selects the requests of the class. A request belongs to the first
	// class of the policy that matches it.
	Match []Match
	// Retryable permits a retry of a request that may have run.
	Retryable bool
	// NonIdempotent requires an idempotency key; a request is run at most once.
	NonIdempotent bool
	// Timeout applies to requests without a deadline of their own.
	Timeout time.Duration
}

func (c *Class) matches(method, path string) bool {
	for i := range c.Match {
		if c.Match[i].Matches(method, path) {
			return true
		}
	}
	return false
}
