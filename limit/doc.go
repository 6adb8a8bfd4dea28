// Package limit adapts the concurrency limit of one target, between the policy's
// minimum and the target's published slots, to the target's own latency and
// failures. It is pure: time is an argument.
package limit
