// Package processtest tests calls end to end with separate processes on loopback:
// nodes, targets and a log service that are killed, frozen, disconnected and
// drained while callers send reads and non-idempotent requests.
package processtest
