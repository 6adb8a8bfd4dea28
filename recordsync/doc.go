// Package recordsync decides when a node writes its record to a store that may lose
// what it has acknowledged.
//
// The store states a timeline, a number that rises each time it is restored from a
// copy. A record counts as stored only in the timeline in which its write was
// acknowledged: once a higher one is known it is written again, as it is after a
// change and after a failed write.
//
// The package does no I/O and reads no clock.
package recordsync
