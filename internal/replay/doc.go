// Package replay runs a recorded trace through the decision packages and
// through the naive version, on the same small fakes and in virtual time, and
// checks the outcomes stated beside the trace. Two runs of one trace print the
// same bytes.
//
// It replays one trace on fakes: a target is a number of slots with a service
// time and sub-calls, and a link is a delay that may go silent.
package replay
