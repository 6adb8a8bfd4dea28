package membership

// TargetState is the state of a member's target.
type TargetState uint8

// The target states.
const (
	Starting TargetState = iota
	Ready
	Draining
	// Down is the state of a target that crashed or never registered.
	Down
)

// String implements fmt.Stringer.
func (s TargetState) String() string {
	switch s {
	case Starting:
		return "starting"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Down:
		return "down"
	}
	return "unknown"
}
