package quarantine

import "time"

// State is the quarantine state of a request. Higher states are more restrictive.
type State uint8

const (
	// Clear requests run without restriction.
	Clear State = iota
	// Suspect requests run only on their designated target, and only in a trial; with
	// Config.RequireTrial, after one crash beside other suspects.
	Suspect
	// Quarantined requests are rejected.
	Quarantined
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case Clear:
		return "clear"
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	}
	return "unknown"
}

// Verdict is the result of Table.Check.
type Verdict struct {
	State State
	// Crashes is the number of crashes attributed to the request.
	Crashes int
	// Until is the end of a quarantine; zero in other states.
	Until time.Time
}
