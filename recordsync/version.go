package recordsync

// Version identifies the content of a record and the timeline of the store in which
// it was written.
type Version struct {
	// Revision counts the changes of the content.
	Revision uint64
	// Timeline is the timeline of the store, or 0 if the store has not stated one.
	Timeline uint64
}
