// Package registration tracks the state of a node's target from the reports of
// the target, which can be delayed, repeated, forged or from an earlier process
// of the target. It performs no I/O and reads no clock.
package registration
