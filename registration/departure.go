package registration

// Departure records that a target process has announced that it is draining or
// has left. Departures outlive the node that acknowledged them, so that a
// restarted node sends no requests to that process.
type Departure struct {
	TargetID string `json:"target_id"`
	// StartedAtMs, Seq and State are those of the target's reports. StartedAtMs and
	// Seq are 0 if they are unknown.
	StartedAtMs int64 `json:"born"`
	Seq         int64 `json:"seq"`
	State       State `json:"state"`
	// AnnouncedAtMs is the time of day at which the departure was announced, in Unix
	// milliseconds, if StartedAtMs is 0: the departure is then that of every process
	// of the target that started before.
	AnnouncedAtMs int64 `json:"announced,omitempty"`
}

// of reports whether the departure is that of the process that sent r.
func (d *Departure) of(r Report) bool {
	if d.TargetID != r.TargetID {
		return false
	}
	return d.StartedAtMs == r.StartedAtMs || d.StartedAtMs == 0 && r.StartedAtMs <= d.AnnouncedAtMs
}
