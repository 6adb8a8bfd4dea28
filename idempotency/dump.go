package idempotency

import "time"

// Dump is the state of a Machine as shown to operators. All times are UTC.
type Dump struct {
	// Next is the offset of the next record to read.
	Next uint64 `json:"next_offset"`
	// CaughtUp reports whether the stream has been read to its end at least once.
	CaughtUp bool `json:"caught_up"`
	// CompleteSince is the log time from which every claim is known; it is the
	// zero time when the whole stream has been read.
	CompleteSince time.Time `json:"complete_since"`
	// AcceptingKeys is false while CompleteSince is not known, after a start or
	// a gap in the stream; until it is known all client keys are refused.
	AcceptingKeys bool `json:"judging"`
	// LogTime is the log time of the newest record read.
	LogTime time.Time `json:"log_time"`
	// ClaimedKeys counts the keys with a claim in the log.
	ClaimedKeys int `json:"claimed_keys"`
	// LocalKeys counts the keys that this process is handling or has executed.
	LocalKeys     int `json:"local_keys"`
	RunningKeys   int `json:"running_keys"`
	Responses     int `json:"stored_responses"`
	ResponseBytes int `json:"stored_response_bytes"`
	// EvictedResponses counts responses dropped to stay within MaxResponseBytes.
	EvictedResponses uint64 `json:"evicted_responses"`
	// PendingReleases counts releases not yet read back from the stream.
	PendingReleases int `json:"pending_releases"`
	// BadRecords counts records that could not be decoded.
	BadRecords uint64 `json:"bad_records"`
	// Gaps counts the ranges of records that expired before they were read.
	Gaps uint64 `json:"gaps"`
	// ClockSteps counts backward steps of the log's clock beyond MaxLogClockStep.
	ClockSteps uint64 `json:"log_clock_steps"`
}
