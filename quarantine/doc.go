// Package quarantine keeps requests that crash their targets from reaching more
// than two of them.
//
// Every request in flight when a target's process dies becomes a suspect. A
// suspect runs only on one designated target, one suspect at a time. A second
// crash puts it in quarantine; a completion clears it. Tables of different
// nodes exchange entries by gossip and agree once they have merged the same
// entries, in whatever order.
//
// The package is pure: it performs no I/O and uses no clock. A Table is not
// safe for concurrent use.
package quarantine
