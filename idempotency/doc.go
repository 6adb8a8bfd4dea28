// Package idempotency decides which process may execute a request of a
// non-idempotent class for a key. It is pure: it has no clock, starts no
// goroutine and does no input or output. Package claims drives it.
//
// # Rule
//
// A process that wants to execute a key appends a claim with a nonce to the
// claims stream and reads the stream up to that claim. It executes the request
// only if
//
//   - the log's time a of its claim and the time t of a UUID version 7 key
//     satisfy -Skew <= a-t <= Window,
//   - every claim for the key at a lower offset that can compete is known (see
//     Fold), and
//   - each of them is released, or, for an opaque key, older than the window.
//
// A process releases a nonce only when it has not sent a byte under it and
// never will, and it never sends after that. A claim whose append was given up
// is released as well; should its record appear later, the release is repeated.
//
// # Why it holds
//
// Suppose that two claims of one key were executed. The process that executed
// the later one in the log knew the earlier one, because all competing claims
// were known to it. The earlier one was not released, since its process
// executed it. So the later one was not executed. The argument needs no
// agreement between processes about which claim holds the key: a process that
// has not read a release only refuses more. It does not depend on how long a
// process pauses between its check and its write.
//
// # Clocks
//
// The clocks of callers and of nodes do not matter for safety. Three clocks
// appear:
//
//   - The time inside a UUID version 7 key. Any value is safe. A key whose time
//     is more than Skew ahead of the log's clock is refused as key-malformed; one
//     that is behind shortens the window by as much.
//   - The log's clock, as written into each record. Any rate, and any step
//     forward, is safe for UUID version 7 keys: a step forward only expires keys
//     early. For opaque keys the window is measured on this clock, so a step
//     forward by d shortens the promise by d. A step back that a process sees in
//     the records it reads is safe at any size: what it has forgotten raises the
//     floor, and keys that could be concerned are refused. A step back matters
//     only among records that a process did not read, before its start or in a
//     gap: the unread records must not be more than LogStep later than the first
//     one that it reads. Beyond that, a process that has just started may execute
//     a key that was executed before, if the earlier claim lies in the unread part.
//   - The monotonic clock of a process. Issued keys are judged and remembered by
//     the clock of their issuer alone, so its rate does not matter, and it cannot
//     step. For claims it refuses a write later than Window after the claim was
//     made. That is a second line of defence for opaque keys only: a process
//     that stands still for longer than the window between MarkWritten and the
//     write may write after another process has executed the same opaque key in
//     a new window.
//
// Starting needs no assumption about the retention of the log. A process that
// finds the start of its reading cut off refuses keys until the records it has
// read reach back far enough; Config.RequiredRetention says when that is at
// once. The log must not reuse offsets, change records or reorder them; if it
// loses records that were read and gives their offsets to others, keys of the
// lost claims may be executed again.
package idempotency
