package registration

// Departure records that a target process has announced that it is draining or
// has left. Departures outlive the node that acknowledged them, so that a
// restarted node sends no requests to that process.
type Departure struct {
	TargetID string `json:"target_id"`
	// StartedAtMs, Seq and State are those of the target's reports. Seq is 0 if
	// it is unknown.
	StartedAtMs int64 `json:"born"`
	Seq         int64 `json:"seq"`
	State       State `json:"state"`
}
