// Package limit finds the concurrency limit of one target, between the floor
// of the policy and its published slots, from the target's own latency. It is
// pure: time is an argument.
package limit
