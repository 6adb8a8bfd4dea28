package routing

// State is the state of a target as reported by its announcements and by gossip.
type State uint8

// The states of a target. Only Ready targets get new calls.
const (
	Starting State = iota
	Ready
	Draining
	Down
)

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	default:
		return "down"
	}
}
