package recordsync

// Version identifies the content of a record and the timeline of the store in which
// it was written.
type Version struct {
	// Revision counts the changes of the content.
	Revision uint64
	// Timeline is the timeline of the store, or 0 if the store has not stated one.
	Timeline uint64
}

// Write is one write of a record.
type Write struct {
	Version
	// Token rises with each write of an instance. The store refuses a write with a
	// lower token than one that it has executed, so that a write without a response
	// which takes effect late does not replace a newer one.
	Token uint64
}
