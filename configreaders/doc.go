// Package configreaders decides which nodes of a failure domain read the
// configuration from the store, and which follow one of these readers.
//
// All nodes compute the readers from the members that they know, without agreement.
// Views that differ lead to more readers or to a follower that asks a node which is
// none; such a follower is told so and goes on to the next reader or to the store.
// A follower therefore depends on a reader only as long as the reader confirms, at
// least every HoldTime, that it reads the store.
//
// The package does no I/O and reads no clock.
package configreaders
