// Package idempotency decides which process may execute a request with an
// idempotency key. It is a pure state machine without clock, goroutines or I/O;
// package claims drives it.
//
// # Protocol
//
// A process that wants to execute the request of a key appends a claim with a
// nonce to the claims stream and reads the stream up to that claim. It executes
// the request only if
//
//   - the log time a of its claim and the time t of a UUID version 7 key
//     satisfy -Skew <= a-t <= Window,
//   - every claim for the key at a lower offset that can compete is known (see
//     ClaimIndex), and
//   - each of them is released, or, for an opaque key, older than the window.
//
// A process releases a nonce only if it has sent no byte of a request under it, and
// it sends none afterwards. A claim whose append was abandoned is released as
// well; if its record appears later, the release is appended again.
//
// # Correctness
//
// Suppose that two competing claims for one key were both executed. The process
// that executed the later one in the log knew the earlier one, because it knew
// all competing claims. The earlier one was not released, because its process
// executed it. So the later one was not executed, which is a contradiction. The
// argument does not require that processes agree on which claim holds the key: a
// process that has not read a release only refuses more. Nor does it depend on
// how long a process pauses between its check and its write.
//
// # Clocks
//
// Safety does not depend on the wall clocks of callers and nodes. Three clocks are
// involved:
//
//   - The time in a UUID version 7 key. Any value is safe. A key whose time is
//     more than Skew ahead of the log's clock is refused as key-malformed; a time
//     behind the log's clock shortens the window by the difference.
//   - The log's clock, as recorded in each record. Any rate and any step forward
//     are safe for UUID version 7 keys: a step forward only expires keys early.
//     For opaque keys the window is measured on this clock, so a step forward by
//     d shortens the window by d. A step back that a process sees in the records
//     it reads is safe at any size: dropped claims raise the low watermark, and
//     keys that they could affect are refused. A step back matters only among
//     records that a process did not read, before its start or in a gap: their
//     log times must not be more than MaxLogClockStep after that of the first
//     record it reads. With a larger step, a process that has just started may
//     execute a key again if the earlier claim is among the unread records.
//   - The monotonic clock of a process. Issued keys expire by the clock of their
//     issuer alone, so its rate does not matter, and it cannot step. For claims,
//     a write later than Window after the claim was made is refused. This is an
//     additional safeguard, for opaque keys only: a process that is paused for
//     longer than the window between AllowWrite and the actual write may write
//     after another process has executed the same opaque key in a new window.
//
// Safety at a start does not depend on the retention of the log. A process that
// finds older records expired refuses keys until the records it has read reach
// back far enough; with Config.RequiredRetention they do so at once. The log
// must not reuse offsets, change records or reorder them; if it loses records
// that were read and assigns their offsets to others, keys of the lost claims
// may be executed again.
package idempotency
