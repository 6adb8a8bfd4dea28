package idempotency

// RecordType is the type of a record in the claims stream. Its values are part
// of the record format and must not be renumbered.
type RecordType uint8

// The record types.
const (
	RecordClaim   RecordType = 1
	RecordRelease RecordType = 2
	// RecordTick only carries the log's time. Without it a process that starts
	// beside an idle stream would not know how far back the stream reaches.
	RecordTick RecordType = 3
)
