// Package admission implements the queue in front of one target: a strict
// priority queue under a concurrency limit, with bounded length and waiting
// times, and an admission level that tells callers which requests would be
// refused. It is pure: time is an argument and every outcome is a Decision.
package admission
