package idempotency

import "github.com/google/uuid"

// ProcessID identifies one process start. A restarted process has a new one.
type ProcessID = uuid.UUID
