package configlog

import "github.com/google/uuid"

// changeID is a remembered change ID with the offset of its first record.
type changeID struct {
	id     uuid.UUID
	offset uint64
}
