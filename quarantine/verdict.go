package quarantine

// State is how a request is to be treated.
type State uint8

// The states of a fingerprint.
const (
	Clear State = iota
	// Suspect requests run only on the target that Designated returns, and
	// only while BeginTrial allows it.
	Suspect
	// Quarantined requests are refused.
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

// Verdict is the answer of Table.Check.
type Verdict struct {
	State State
	// Crashes is the number of crashes attributed to the request.
	Crashes int
}
