package idempotency

import "time"

// Dump is the state of a Machine for operators. All times are UTC.
type Dump struct {
	// Next is the offset of the next record to read.
	Next uint64 `json:"next_offset"`
	// CaughtUp reports whether the stream was read to its end once.
	CaughtUp bool `json:"caught_up"`
	// CompleteSince is the log time since which every claim is known; it is
	// the zero time when the whole stream is known.
	CompleteSince time.Time `json:"complete_since"`
	// Judging is false while CompleteSince is not known, after a start or a
	// gap: all client keys are refused until then.
	Judging bool `json:"judging"`
	// LogTime is the time of the newest record read.
	LogTime time.Time `json:"log_time"`
	// ClaimedKeys counts the keys with a claim in the log.
	ClaimedKeys int `json:"claimed_keys"`
	// LocalKeys counts the keys that this process has executed or is handling.
	LocalKeys     int `json:"local_keys"`
	RunningKeys   int `json:"running_keys"`
	Responses     int `json:"stored_responses"`
	ResponseBytes int `json:"stored_response_bytes"`
	// EvictedResponses counts responses dropped to stay within the bound.
	EvictedResponses uint64 `json:"evicted_responses"`
	// PendingReleases counts releases that were not read back yet.
	PendingReleases int `json:"pending_releases"`
	// BadRecords counts records that could not be decoded.
	BadRecords uint64 `json:"bad_records"`
	// Gaps counts the places where records expired before they were read.
	Gaps uint64 `json:"gaps"`
	// ClockSteps counts steps back of the log's clock beyond LogStep.
	ClockSteps uint64 `json:"log_clock_steps"`
}
