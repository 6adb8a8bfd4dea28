// Package processtest tests the whole path of a call with separate processes
// on loopback: nodes, targets and a log service that are killed, frozen, cut
// off and drained while callers send reads and non-idempotent requests.
package processtest
