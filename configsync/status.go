package configsync

import "time"

// Status is what a Runner reports for metrics and the state dump.
type Status struct {
	// Offset is the offset of the current state.
	Offset    uint64
	Following bool
	// Gap reports whether records after the current state are missing and no
	// snapshot that covers them was found yet. The state does not change until
	// such a snapshot is read or the state of a peer is adopted.
	Gap bool
	// LastRead is when the last successful read ended, by Options.Now.
	LastRead time.Time
	// LastError is the error of the last read or of the snapshot written after it,
	// empty if neither failed.
	LastError string
	// Reads and Failures count the successful and the failed reads.
	Reads    uint64
	Failures uint64
	// Adopted counts the states adopted from peers.
	Adopted uint64
	// Snapshots counts the snapshots that the log service accepted.
	Snapshots uint64
}
