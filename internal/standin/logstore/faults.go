package logstore

// Faults are the faults that a Store injects. POST /control replaces all of them.
type Faults struct {
	// Outage makes the store refuse every request.
	Outage bool `json:"outage"`
	// DelayMS is the delay in milliseconds that is added to every request.
	DelayMS int64 `json:"delay_ms"`
	// LoseResponses is the number of next appends that take effect but get no
	// response; a negative number means all.
	LoseResponses int `json:"lose_answers"`
}
