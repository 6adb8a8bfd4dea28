// Package claims runs the state machine of package idempotency for one
// service: it follows the service's claims stream, appends claims and releases
// with group commit, asks other processes for outcomes, and wakes waiting
// repeats.
package claims
