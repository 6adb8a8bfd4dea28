// Package idempotency decides which process may execute a request of a
// non-idempotent class for a key, from the records of the claims stream alone.
// It is pure: it has no clock, no goroutines and does no input or output.
package idempotency
