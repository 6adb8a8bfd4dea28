package logstore

// Faults are the faults that a Store shows. The control path sets them as a
// whole.
type Faults struct {
	// Outage refuses every request.
	Outage bool `json:"outage"`
	// DelayMS is added to every request.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is how many of the next appends take effect and lose their
	// answer; a negative number stands for all.
	LoseAnswers int `json:"lose_answers"`
}
