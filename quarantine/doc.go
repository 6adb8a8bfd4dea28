// Package quarantine limits a request that crashes its targets to two targets.
//
// Every request in flight when a target's process dies becomes a suspect. A
// suspect runs only on its designated target, and a target runs one suspect at a
// time. A second crash quarantines the request; a completion clears it. The
// tables of the nodes exchange entries by gossip and converge: tables that have
// merged the same entries, in any order, hold the same states.
//
// The package is pure: it performs no I/O and reads no clock. A Table is not
// safe for concurrent use.
package quarantine
