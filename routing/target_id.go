package routing

// TargetID identifies one process of a target for as long as it lives. A
// restarted target has a new ID, so it inherits no ejection.
type TargetID string
