package idempotency

import "github.com/google/uuid"

// ProcessID identifies one run of a process. A restarted process has a new ID.
type ProcessID = uuid.UUID
