package configlog

import "github.com/google/uuid"

// changeID is a change ID that is kept to detect duplicates, with the offset of its
// first record.
type changeID struct {
	id     uuid.UUID
	offset uint64
}
