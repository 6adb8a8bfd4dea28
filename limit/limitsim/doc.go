// Package limitsim simulates a target behind the admission queue in virtual
// time, to measure rules that set the concurrency limit. The tests of package
// limit use it, and the command in limitsim/table prints the table of
// docs/measurements-limit.md.
package limitsim
