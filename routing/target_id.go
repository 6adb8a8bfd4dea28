package routing

// TargetID identifies one process of a target for its lifetime. A restarted target
// gets a new ID, so it does not inherit an ejection.
type TargetID string
