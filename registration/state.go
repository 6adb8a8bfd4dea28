package registration

// State is what is known of the target.
type State uint8

// The states of a target. Only a Ready target gets work.
const (
	// Unknown holds from the start of the node until the first valid report.
	Unknown State = iota
	Ready
	Draining
	// Left is the state after the target has said that it is gone.
	Left
)

// String returns the lower-case name of the state.
func (s State) String() string {
	return [...]string{"unknown", "ready", "draining", "left"}[s]
}
