package membership

// TargetState is the state of the target beside a member.
type TargetState uint8

// The target states.
const (
	Starting TargetState = iota
	Ready
	Draining
	// Down is the state of a target whose process died or never announced itself.
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
