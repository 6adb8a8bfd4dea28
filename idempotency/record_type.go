package idempotency

// RecordType is the type of a record in the claims stream. Its values are part
// of the record format and must not be renumbered.
type RecordType uint8

// The record types.
const (
	RecordClaim   RecordType = 1
	RecordRelease RecordType = 2
	// RecordHeartbeat only carries the log time. Without it, a process that
	// starts while the stream is idle could not tell how far back the stream
	// reaches.
	RecordHeartbeat RecordType = 3
)
