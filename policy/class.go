package policy

import "time"

// MaxImportance is the value of the least important class; 0 is the most important.
const MaxImportance = 15

// Class groups requests that are treated alike.
type Class struct {
	Name string
	// Importance orders classes; 0 is the most important.
	Importance int
	// Match lists the requests of the class; the first class that matches wins.
	Match []Match
	// Retryable allows repeats of a request that may have run.
	Retryable bool
	// NonIdempotent requires an idempotency key and runs a request at most once.
	NonIdempotent bool
	// Timeout is the deadline of a request that names none.
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
