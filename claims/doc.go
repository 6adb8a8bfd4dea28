// Package claims drives the state machine of package idempotency for one service:
// it reads the service's claims stream continuously, appends claims and releases
// with group commit, queries other processes for the outcome of their claims, and
// answers waiting repeats.
package claims
