// Package registration follows the life of the target beside a node from the
// target's own reports, which may be late, repeated, forged or from an earlier
// start of the target. It is pure.
package registration
