package logstore

// Counters counts the requests of one stream.
type Counters struct {
	// Appends counts append requests that took effect.
	Appends uint64 `json:"appends"`
	// Records counts the records of these requests.
	Records uint64 `json:"records"`
	// Reads counts read requests that were answered.
	Reads uint64 `json:"reads"`
	// Refused counts requests refused for their rate or by an outage.
	Refused uint64 `json:"refused"`
	// AnswersLost counts appends that took effect without an answer.
	AnswersLost uint64 `json:"answers_lost"`
}
