package registration

// Departure records that a start of a target has announced its end. It outlives
// the node that acknowledged it, so that a restarted node sends no work there.
type Departure struct {
	TargetID string `json:"target_id"`
	Born     int64  `json:"born"`
	Seq      int64  `json:"seq"`
	State    State  `json:"state"`
}
