package logstore

// Counters counts the requests of one stream.
type Counters struct {
	// Appends counts append requests that took effect.
	Appends uint64 `json:"appends"`
	// Records counts the records of these appends.
	Records uint64 `json:"records"`
	// Reads counts read requests that were answered.
	Reads uint64 `json:"reads"`
	// Refused counts requests refused by the rate limit or an outage.
	Refused uint64 `json:"refused"`
	// ResponsesLost counts appends that took effect but got no response.
	ResponsesLost uint64 `json:"answers_lost"`
}
