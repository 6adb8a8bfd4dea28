package configsync

import "time"

// Status is what a Runner reports for metrics and the state dump.
type Status struct {
	// Offset is that of the current state.
	Offset    uint64
	Following bool
	// Gap reports that records are missing and no snapshot that covers them was
	// found yet. The state stays as it is until one is found or adopted.
	Gap bool
	// LastRead is the time of the last read that succeeded, by Options.Now.
	LastRead time.Time
	// LastError is the error of the last read or snapshot, empty if it
	// succeeded.
	LastError string
	Reads     uint64
	Failures  uint64
	// Adopted counts states taken from peers.
	Adopted uint64
	// Snapshots counts snapshots that the log service accepted.
	Snapshots uint64
}
