// Package retry limits the retries of a whole call chain with an allowance that is
// split among the hops, and the retries to one service with a token bucket that
// first attempts refill. It has no I/O and no clock; the caller passes the time.
package retry
