package registration

// State is the state of a target.
type State uint8

// The states of a target. Only a Ready target gets requests.
const (
	// Unknown is the state before the first valid report, and when reports are
	// overdue.
	Unknown State = iota
	Ready
	Draining
	// Left is the state after the target has announced that it has left.
	Left
)

// String returns the lower-case name of the state.
func (s State) String() string {
	return [...]string{"unknown", "ready", "draining", "left"}[s]
}
